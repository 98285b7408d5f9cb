package recorder

import (
	"encoding/json"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Kind is the type of a record's body.
type Kind string

// The kinds of record.
const (
	KindConfigChange Kind = "configChange"
	KindMembership   Kind = "membership"
	KindJob          Kind = "job"
	KindJobCancel    Kind = "jobCancel"
	KindJobProgress  Kind = "jobProgress"
	KindJobEnd       Kind = "jobEnd"
	KindClaim        Kind = "claim"
	KindClaimEnd     Kind = "claimEnd"
	KindAudit        Kind = "audit"
	KindSnapshot     Kind = "snapshot"
)

// Body is the content of a record. Only types of this package implement it.
type Body interface {
	// Kind returns the kind of the record.
	Kind() Kind
	sealed()
}

// ConfigChange sets or removes one entry of the cell's configuration. A change is
// accepted only if the entry was last set at Base. Of two changes with the same
// Base, the first in the log therefore wins.
type ConfigChange struct {
	// Key names the entry, such as "team/omuti" or "service/field-desk".
	Key string `json:"key"`
	// Base is the offset at which the entry was last set, 0 if it never was.
	Base namer.Offset `json:"base"`
	// Value is the new value. It is empty if the entry is removed.
	Value json.RawMessage `json:"value,omitempty"`
	// Operator is the operator who requested the change.
	Operator string `json:"operator"`
}

// Member is an entry process that takes part in placing tasks.
type Member struct {
	// Name is unique within the cell and to one incarnation of the process.
	Name string `json:"name"`
	// Peers is the address on which the process serves its peers.
	Peers string `json:"peers"`
}

// Membership lists the live entry processes of a data centre. A membership is
// accepted only if its epoch is one higher than that of the data centre's last
// membership.
type Membership struct {
	// DataCentre is the data centre of the members.
	DataCentre string `json:"dataCentre"`
	// Epoch numbers the memberships of the data centre.
	Epoch namer.Epoch `json:"epoch"`
	// Members is sorted by name and has no duplicates.
	Members []Member `json:"members"`
	// Cause is the reason why the membership was proposed.
	Cause string `json:"cause"`
}

// JobKind is the policy under which a job is placed.
type JobKind string

// The kinds of job.
const (
	Service JobKind = "service"
	Batch   JobKind = "batch"
	Gang    JobKind = "gang"
)

// Job is a submitted job.
type Job struct {
	// ID is the identity of the job, chosen by the submitter.
	ID string `json:"id"`
	// Name is a label for display only.
	Name string `json:"name"`
	// Team is the team to which the job's usage is charged.
	Team string `json:"team"`
	// Policy is the policy under which the job is placed.
	Policy JobKind `json:"policy"`
	// Tasks is the number of tasks, at least 1.
	Tasks int `json:"tasks"`
	// Size is the declared resource need of each task.
	Size sizer.Size `json:"size"`
	// RunTime is the declared run time of each task, 0 if the tasks run until
	// they are stopped.
	RunTime time.Duration `json:"runTime"`
	// Urgent is true if the job may preempt batch jobs.
	Urgent bool `json:"urgent,omitempty"`
	// DataCentre is the data centre in which the job is placed.
	DataCentre string `json:"dataCentre"`
	// Operator is the operator who submitted the job.
	Operator string `json:"operator,omitempty"`
}

// JobCancel cancels a job.
type JobCancel struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Operator is the operator who requested the cancellation.
	Operator string `json:"operator"`
}

// JobProgress lists the tasks of a job that have finished since the last
// JobProgress, so that a new owner of the job does not run them again.
type JobProgress struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Finished holds the indexes of the finished tasks in ascending order.
	Finished []int `json:"finished"`
}

// Outcome is how a job or a claimed request ended.
type Outcome string

// The outcomes.
const (
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// NotRun is the outcome of a claim whose request was not executed.
	NotRun Outcome = "notRun"
)

// JobEnd records that a job has ended.
type JobEnd struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Outcome is how the job ended.
	Outcome Outcome `json:"outcome"`
	// Reason explains an outcome other than Done.
	Reason string `json:"reason,omitempty"`
}

// Claim reserves the only attempt of a non-idempotent request for one entry
// process. The first claim of a request in the log wins.
type Claim struct {
	// Request is the identity of the request.
	Request string `json:"request"`
	// Entry is the entry process that claims the request.
	Entry string `json:"entry"`
}

// ClaimEnd records how a claimed request ended. A request whose claim ended with
// NotRun may be claimed again.
type ClaimEnd struct {
	// Request is the identity of the request.
	Request string `json:"request"`
	// Claim is the identity of the record that holds the claim.
	Claim string `json:"claim"`
	// Outcome is how the request ended.
	Outcome Outcome `json:"outcome"`
}

// Audit is an entry of the audit trail.
type Audit struct {
	// Who is the operator who made the request, or the process that acted on
	// its own.
	Who string `json:"who"`
	// What is the requested statement, or a description of the action if there
	// is no statement.
	What string `json:"what"`
	// From is the network address from which the request came.
	From string `json:"from,omitempty"`
	// Base is the offset on which the request was based.
	Base namer.Offset `json:"base,omitempty"`
	// Accepted reports whether the request or action took effect.
	Accepted bool `json:"accepted"`
	// Reason explains a refusal, or an action that a process took on its own.
	Reason string `json:"reason,omitempty"`
}

// Snapshot is one part of a snapshot, which stores the state that results from the
// records up to an offset. Each entry of the state is in exactly one part of the
// set.
type Snapshot struct {
	// Set is the identity of the snapshot to which the part belongs.
	Set string `json:"set"`
	// Part is the index of the part in the set, from 0. Parts is the number of
	// parts in the set.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Through is the offset of the last record that the snapshot covers.
	Through namer.Offset `json:"through"`
	// State is encoded by package replayer.
	State json.RawMessage `json:"state"`
}

// Unknown is the body of a record of an unknown kind or a later version. Encode
// writes the body back unchanged.
type Unknown struct {
	// Name is the kind of the record.
	Name Kind
	// Raw is the encoded body.
	Raw json.RawMessage
}

// Kind returns KindConfigChange.
func (ConfigChange) Kind() Kind { return KindConfigChange }

// Kind returns KindMembership.
func (Membership) Kind() Kind { return KindMembership }

// Kind returns KindJob.
func (Job) Kind() Kind { return KindJob }

// Kind returns KindJobCancel.
func (JobCancel) Kind() Kind { return KindJobCancel }

// Kind returns KindJobProgress.
func (JobProgress) Kind() Kind { return KindJobProgress }

// Kind returns KindJobEnd.
func (JobEnd) Kind() Kind { return KindJobEnd }

// Kind returns KindClaim.
func (Claim) Kind() Kind { return KindClaim }

// Kind returns KindClaimEnd.
func (ClaimEnd) Kind() Kind { return KindClaimEnd }

// Kind returns KindAudit.
func (Audit) Kind() Kind { return KindAudit }

// Kind returns KindSnapshot.
func (Snapshot) Kind() Kind { return KindSnapshot }

// Kind returns the kind of the record as it was read.
func (u Unknown) Kind() Kind { return u.Name }

func (ConfigChange) sealed() {}
func (Membership) sealed()   {}
func (Job) sealed()          {}
func (JobCancel) sealed()    {}
func (JobProgress) sealed()  {}
func (JobEnd) sealed()       {}
func (Claim) sealed()        {}
func (ClaimEnd) sealed()     {}
func (Audit) sealed()        {}
func (Snapshot) sealed()     {}
func (Unknown) sealed()      {}
