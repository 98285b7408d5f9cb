package parser

import (
	"encoding/json"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// Statement is one statement: a Show, a Why, a Submit, a Stop, a Drain, a
// Resume, a Set or an Unset.
type Statement interface {
	statement()
}

// Command is a statement that changes something: all but Show and Why.
type Command interface {
	Statement
	// Terms returns what every command may carry.
	Terms() Terms
}

// Table names what can be shown.
type Table string

// The tables.
const (
	Tasks    Table = "tasks"
	Workers  Table = "workers"
	Minions  Table = "minions"
	Jobs     Table = "jobs"
	Teams    Table = "teams"
	Config   Table = "config"
	Audit    Table = "audit"
	Members  Table = "members"
	Services Table = "services"
	Offsets  Table = "offsets"
)

// Show asks for the rows of a table.
type Show struct {
	table Table
	// at is 0 save for Config.
	at namer.Offset
	// since is zero save for Audit.
	since Since
	// where is nil if every row is asked for.
	where   Expr
	countBy []Column
	orderBy []Order
	// limit is 0 if there is none.
	limit int
}

// Table returns the table that is asked for.
func (s Show) Table() Table { return s.table }

// At returns the offset at which the configuration is asked for, 0 for now.
func (s Show) At() namer.Offset { return s.at }

// Since returns from where on the audit trail is asked for.
func (s Show) Since() Since { return s.since }

// Where returns the condition, nil if there is none.
func (s Show) Where() Expr { return s.where }

// CountBy returns the columns by whose values rows are counted. It is empty if
// the rows themselves are asked for.
func (s Show) CountBy() []Column { return s.countBy }

// OrderBy returns the order, the first column weighing most.
func (s Show) OrderBy() []Order { return s.orderBy }

// Limit returns the most rows that are asked for, 0 for all.
func (s Show) Limit() int { return s.limit }

// Since is a place in the audit trail: an offset, or a time before now.
type Since struct {
	// At most one of them is set.
	offset namer.Offset
	ago    time.Duration
}

// Offset returns the offset, 0 if there is none.
func (s Since) Offset() namer.Offset { return s.offset }

// Ago returns how long before now, 0 if there is an offset or nothing.
func (s Since) Ago() time.Duration { return s.ago }

// Column is a column that a statement names.
type Column struct {
	name string
	pos  Position
}

// Name returns the name of the column.
func (c Column) Name() string { return c.name }

// Pos returns where the column is named.
func (c Column) Pos() Position { return c.pos }

// Errorf returns an error at the place of the column.
func (c Column) Errorf(message string, expected ...string) *Error {
	return newError(c.pos, message, expected)
}

// Order is one column to sort by.
type Order struct {
	column     Column
	descending bool
}

// Column returns the column.
func (o Order) Column() Column { return o.column }

// Descending reports whether the largest comes first.
func (o Order) Descending() bool { return o.descending }

// Expr is a condition: an Or, an And, a Not, a Comparison or an In.
type Expr interface {
	expr()
}

// Or holds if any of its terms does.
type Or struct {
	// terms are at least two, and none is an Or.
	terms []Expr
}

// Terms returns the terms.
func (o Or) Terms() []Expr { return o.terms }

// And holds if all of its terms do.
type And struct {
	// terms are at least two, and none is an And.
	terms []Expr
}

// Terms returns the terms.
func (a And) Terms() []Expr { return a.terms }

// Not holds if its term does not.
type Not struct {
	term Expr
}

// Term returns the term.
func (n Not) Term() Expr { return n.term }

// Sign compares a column with a value.
type Sign string

// The signs.
const (
	Equal        Sign = "="
	NotEqual     Sign = "!="
	Less         Sign = "<"
	LessEqual    Sign = "<="
	Greater      Sign = ">"
	GreaterEqual Sign = ">="
	// Contains holds if the value is a part of the column's text.
	Contains Sign = "~"
)

// Comparison compares a column with a value.
type Comparison struct {
	column Column
	sign   Sign
	value  Value
}

// Column returns the column.
func (c Comparison) Column() Column { return c.column }

// Sign returns how they are compared.
func (c Comparison) Sign() Sign { return c.sign }

// Value returns the value.
func (c Comparison) Value() Value { return c.value }

// In holds if a column has one of some values.
type In struct {
	column Column
	// values are at least one.
	values []Value
}

// Column returns the column.
func (i In) Column() Column { return i.column }

// Values returns the values.
func (i In) Values() []Value { return i.values }

// Value is a value in a condition: a Text or a Quantity.
type Value interface {
	// Errorf returns an error at the place of the value.
	Errorf(message string, expected ...string) *Error
	value()
}

// Text is a value in quotes, or a bare name.
type Text struct {
	text string
	pos  Position
}

// Text returns the text, without quotes.
func (t Text) Text() string { return t.text }

// Errorf returns an error at the place of the value.
func (t Text) Errorf(message string, expected ...string) *Error {
	return newError(t.pos, message, expected)
}

// Quantity is a number, with or without a unit. What the unit means depends on
// the column: 500m are half a core, or 500 minutes.
type Quantity struct {
	literal string
	pos     Position
}

// Literal returns the quantity as it was written.
func (q Quantity) Literal() string { return q.literal }

// Errorf returns an error at the place of the value.
func (q Quantity) Errorf(message string, expected ...string) *Error {
	return newError(q.pos, message, expected)
}

// Why asks why a task is where it is.
type Why struct {
	task namer.TaskID
}

// Task returns the task.
func (w Why) Task() namer.TaskID { return w.task }

// Terms are what every command may carry.
type Terms struct {
	// base is 0 if none was given, and save for Set and Unset.
	base     namer.Offset
	identity string
	dryRun   bool
}

// Base returns the offset that the change is based on, 0 if the one in force
// is meant.
func (t Terms) Base() namer.Offset { return t.base }

// Identity returns the identity that the operator chose for the command, so
// that it can be given again. It is empty if there is none.
func (t Terms) Identity() string { return t.identity }

// DryRun reports whether the command is only checked.
func (t Terms) DryRun() bool { return t.dryRun }

// Submit submits a job.
type Submit struct {
	policy recorder.JobKind
	name   string
	team   string
	// tasks is at least 1.
	tasks int
	// size is not zero.
	size sizer.Size
	// runTime is 0 for a service, and where it was not given.
	runTime    time.Duration
	urgent     bool
	dataCentre string
	terms      Terms
}

// Policy returns how the job is placed.
func (s Submit) Policy() recorder.JobKind { return s.policy }

// Name returns the name of the job.
func (s Submit) Name() string { return s.name }

// Team returns the team that pays for the job.
func (s Submit) Team() string { return s.team }

// Tasks returns the number of tasks.
func (s Submit) Tasks() int { return s.tasks }

// Size returns what each task needs.
func (s Submit) Size() sizer.Size { return s.size }

// RunTime returns how long each task is declared to run, 0 for no end.
func (s Submit) RunTime() time.Duration { return s.runTime }

// Urgent reports whether the job may preempt batch work.
func (s Submit) Urgent() bool { return s.urgent }

// DataCentre returns where the job is to run, empty for the one that is asked.
func (s Submit) DataCentre() string { return s.dataCentre }

// Terms returns the command's terms.
func (s Submit) Terms() Terms { return s.terms }

// Stop stops a job.
type Stop struct {
	job   string
	terms Terms
}

// Job returns the identity of the job.
func (s Stop) Job() string { return s.job }

// Terms returns the command's terms.
func (s Stop) Terms() Terms { return s.terms }

// HostKind is the kind of a host: worker or minion.
type HostKind string

// The kinds of host.
const (
	Worker HostKind = "worker"
	Minion HostKind = "minion"
)

// Drain gives a host nothing new.
type Drain struct {
	kind  HostKind
	name  string
	terms Terms
}

// Kind returns the kind of the host.
func (d Drain) Kind() HostKind { return d.kind }

// Name returns the name of the host.
func (d Drain) Name() string { return d.name }

// Terms returns the command's terms.
func (d Drain) Terms() Terms { return d.terms }

// Resume ends a Drain.
type Resume struct {
	kind  HostKind
	name  string
	terms Terms
}

// Kind returns the kind of the host.
func (r Resume) Kind() HostKind { return r.kind }

// Name returns the name of the host.
func (r Resume) Name() string { return r.name }

// Terms returns the command's terms.
func (r Resume) Terms() Terms { return r.terms }

// Set sets one entry of the configuration.
type Set struct {
	setting Setting
	terms   Terms
}

// Setting returns what is set.
func (s Set) Setting() Setting { return s.setting }

// Terms returns the command's terms.
func (s Set) Terms() Terms { return s.terms }

// Setting is an entry of the configuration with its new value: a TeamSetting,
// a ServiceSetting or an EntrySetting.
type Setting interface {
	// Key returns the key of the entry.
	Key() string
	// Apply returns the new value of the entry, given the one in force, which
	// is empty if there is none.
	Apply(current json.RawMessage) (json.RawMessage, error)
	setting()
}

// TeamSetting changes the named fields of the entry "team/NAME".
type TeamSetting struct {
	name string
	// weight and shares are nil, and hasQuota false, if they stay as they are.
	weight   *float64
	shares   *float64
	hasQuota bool
	quota    sizer.Size
}

// ServiceSetting changes the named fields of the entry "service/NAME".
type ServiceSetting struct {
	name string
	// A field that is nil stays as it is.
	team     *string
	queue    *int
	deadline *time.Duration
	attempt  *time.Duration
}

// EntrySetting replaces the value of any entry.
type EntrySetting struct {
	key string
	// value is valid JSON without blanks between tokens.
	value json.RawMessage
}

// Unset removes one entry of the configuration.
type Unset struct {
	key   string
	terms Terms
}

// Key returns the key of the entry.
func (u Unset) Key() string { return u.key }

// Terms returns the command's terms.
func (u Unset) Terms() Terms { return u.terms }

func (Show) statement()   {}
func (Why) statement()    {}
func (Submit) statement() {}
func (Stop) statement()   {}
func (Drain) statement()  {}
func (Resume) statement() {}
func (Set) statement()    {}
func (Unset) statement()  {}

func (Or) expr()         {}
func (And) expr()        {}
func (Not) expr()        {}
func (Comparison) expr() {}
func (In) expr()         {}

func (Text) value()     {}
func (Quantity) value() {}

func (TeamSetting) setting()    {}
func (ServiceSetting) setting() {}
func (EntrySetting) setting()   {}

// WithIdentity returns the command with the identity, unless it has one.
// Whoever sends a command chooses its identity first, so that one whose answer
// is lost can be given again and takes effect once.
func WithIdentity(c Command, identity string) Command {
	terms := c.Terms()
	if terms.identity != "" {
		return c
	}
	terms.identity = identity
	switch c := c.(type) {
	case Submit:
		c.terms = terms
		return c
	case Stop:
		c.terms = terms
		return c
	case Drain:
		c.terms = terms
		return c
	case Resume:
		c.terms = terms
		return c
	case Set:
		c.terms = terms
		return c
	case Unset:
		c.terms = terms
		return c
	default:
		return c
	}
}
