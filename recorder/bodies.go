package recorder

import (
	"encoding/json"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Kind names what a record is about.
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

// Body is the content of a record. It is one of the types of this package.
type Body interface {
	// Kind returns the kind of the record.
	Kind() Kind
	sealed()
}

// ConfigChange sets or removes one entry of the cell's configuration. It is
// accepted if the entry was last set at Base, so that of two changes with the
// same base the first in the log wins.
type ConfigChange struct {
	// Key names the entry, such as "team/omuti" or "service/field-desk".
	Key string `json:"key"`
	// Base is the offset at which the entry was last set, 0 if it never was.
	Base namer.Offset `json:"base"`
	// Value is the new value. It is empty if the entry is removed.
	Value json.RawMessage `json:"value,omitempty"`
	// Operator is who asked for the change.
	Operator string `json:"operator"`
}

// Member is an entry process that takes part in placing.
type Member struct {
	// Name is unique within the cell, and for each life of the process.
	Name string `json:"name"`
	// Peers is the address of the process for its peers.
	Peers string `json:"peers"`
}

// Membership names the live entry processes of one data centre. It is accepted
// if its epoch is the one after the data centre's last.
type Membership struct {
	// DataCentre is where the members are.
	DataCentre string `json:"dataCentre"`
	// Epoch is the number of this membership.
	Epoch namer.Epoch `json:"epoch"`
	// Members are sorted by name, without repeats.
	Members []Member `json:"members"`
	// Cause says why the membership was proposed.
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
	// ID is the identity of the job, chosen by whoever submits it.
	ID string `json:"id"`
	// Name is for people.
	Name string `json:"name"`
	// Team pays for the job.
	Team string `json:"team"`
	// Policy says how the job is placed.
	Policy JobKind `json:"policy"`
	// Tasks is the number of tasks, at least 1.
	Tasks int `json:"tasks"`
	// Size is what each task is declared to need.
	Size sizer.Size `json:"size"`
	// RunTime is how long each task is declared to run, 0 if it runs until it
	// is stopped.
	RunTime time.Duration `json:"runTime"`
	// Urgent work may preempt batch work.
	Urgent bool `json:"urgent,omitempty"`
	// DataCentre is where the job is placed.
	DataCentre string `json:"dataCentre"`
	// Operator is who submitted the job.
	Operator string `json:"operator,omitempty"`
}

// JobCancel stops a job.
type JobCancel struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Operator is who asked for it.
	Operator string `json:"operator"`
}

// JobProgress says which tasks of a job have finished since the last such
// record, so that a new owner does not run them again.
type JobProgress struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Finished are the indexes of the finished tasks, in rising order.
	Finished []int `json:"finished"`
}

// Outcome says how a job or a claimed request ended.
type Outcome string

// The outcomes.
const (
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// NotRun is the outcome of a claim whose request certainly did not run.
	NotRun Outcome = "notRun"
)

// JobEnd says that a job has ended.
type JobEnd struct {
	// Job is the identity of the job.
	Job string `json:"job"`
	// Outcome says how it ended.
	Outcome Outcome `json:"outcome"`
	// Reason explains an outcome other than Done.
	Reason string `json:"reason,omitempty"`
}

// Claim reserves the single attempt of a non-idempotent request. The first
// claim of an identity in the log wins.
type Claim struct {
	// Request is the identity of the request.
	Request string `json:"request"`
	// Entry is the process that claims it.
	Entry string `json:"entry"`
}

// ClaimEnd says what became of a claimed request. After NotRun the identity
// may be claimed again.
type ClaimEnd struct {
	// Request is the identity of the request.
	Request string `json:"request"`
	// Claim is the identity of the record with the claim that ends.
	Claim string `json:"claim"`
	// Outcome says how it ended.
	Outcome Outcome `json:"outcome"`
}

// Audit is one line of the audit trail.
type Audit struct {
	// Who asked, or the process that acted by itself.
	Who string `json:"who"`
	// What was asked or done, as a statement where there is one.
	What string `json:"what"`
	// From is the address from which it was asked.
	From string `json:"from,omitempty"`
	// Base is the offset on which the request was based.
	Base namer.Offset `json:"base,omitempty"`
	// Accepted says whether it took effect.
	Accepted bool `json:"accepted"`
	// Reason explains a refusal or an act of the system itself.
	Reason string `json:"reason,omitempty"`
}

// Snapshot is one part of everything in force up to an offset. The parts of a
// set hold different entries; together they are the whole.
type Snapshot struct {
	// Set is the identity of the snapshot that the part belongs to.
	Set string `json:"set"`
	// Part counts the parts of the set from 0; Parts is how many there are.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Through is the offset of the last record that the snapshot covers.
	Through namer.Offset `json:"through"`
	// State is the replayer's own encoding.
	State json.RawMessage `json:"state"`
}

// Unknown is a record of a kind that this version does not know. It is kept as
// it was.
type Unknown struct {
	// Name is the kind that the record names.
	Name Kind
	// Raw is the body as it was read.
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

// Kind returns the kind that the record named.
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
