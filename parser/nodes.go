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
	// CommandOptions returns the options that every command may have.
	CommandOptions() CommandOptions
}

// Table is the name of a table that can be shown.
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

// Show queries the rows of a table.
type Show struct {
	table Table
	// at is 0 unless the table is Config.
	at namer.Offset
	// since is zero unless the table is Audit.
	since Since
	// where is nil if all rows are selected.
	where   Expr
	countBy []Column
	orderBy []Order
	// limit is 0 if there is none.
	limit int
}

// Table returns the table that is queried.
func (s Show) Table() Table { return s.table }

// At returns the offset of the configuration that is queried, 0 for the current
// one.
func (s Show) At() namer.Offset { return s.at }

// Since returns the start of the queried part of the audit trail.
func (s Show) Since() Since { return s.since }

// Where returns the condition, nil if there is none.
func (s Show) Where() Expr { return s.where }

// CountBy returns the columns by which rows are grouped and counted. It is
// empty if the rows themselves are queried.
func (s Show) CountBy() []Column { return s.countBy }

// OrderBy returns the sort order, the most significant column first.
func (s Show) OrderBy() []Order { return s.orderBy }

// Limit returns the greatest number of rows to return, 0 for all.
func (s Show) Limit() int { return s.limit }

// Since is a position in the audit trail: an offset, or a duration before now.
type Since struct {
	// At most one of the fields is set.
	offset namer.Offset
	ago    time.Duration
}

// Offset returns the offset, 0 if there is none.
func (s Since) Offset() namer.Offset { return s.offset }

// Ago returns the duration before now, 0 if there is an offset or neither is
// set.
func (s Since) Ago() time.Duration { return s.ago }

// Column is a column that a statement names.
type Column struct {
	name string
	pos  Position
}

// Name returns the name of the column.
func (c Column) Name() string { return c.name }

// Pos returns the position at which the column is named.
func (c Column) Pos() Position { return c.pos }

// NewError returns an error at the position of the column.
func (c Column) NewError(message string, expected ...string) *Error {
	return newError(c.pos, message, expected)
}

// Order is one column to sort by.
type Order struct {
	column     Column
	descending bool
}

// Column returns the column.
func (o Order) Column() Column { return o.column }

// Descending reports whether the largest value comes first.
func (o Order) Descending() bool { return o.descending }

// Expr is a condition: an Or, an And, a Not, a Comparison or an In.
type Expr interface {
	expr()
}

// Or is true if any of its terms is.
type Or struct {
	// terms has at least two elements, none of which is an Or.
	terms []Expr
}

// Terms returns the terms.
func (o Or) Terms() []Expr { return o.terms }

// And is true if all of its terms are.
type And struct {
	// terms has at least two elements, none of which is an And.
	terms []Expr
}

// Terms returns the terms.
func (a And) Terms() []Expr { return a.terms }

// Not is true if its term is false.
type Not struct {
	term Expr
}

// Term returns the term.
func (n Not) Term() Expr { return n.term }

// Sign is a comparison operator.
type Sign string

// The comparison operators.
const (
	Equal        Sign = "="
	NotEqual     Sign = "!="
	Less         Sign = "<"
	LessEqual    Sign = "<="
	Greater      Sign = ">"
	GreaterEqual Sign = ">="
	// Contains is true if the value is a substring of the column's text.
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

// Sign returns the comparison operator.
func (c Comparison) Sign() Sign { return c.sign }

// Value returns the value.
func (c Comparison) Value() Value { return c.value }

// In is true if the column has one of the values.
type In struct {
	column Column
	// values has at least one element.
	values []Value
}

// Column returns the column.
func (i In) Column() Column { return i.column }

// Values returns the values.
func (i In) Values() []Value { return i.values }

// Value is a value in a condition: a Text or a Quantity.
type Value interface {
	// NewError returns an error at the position of the value.
	NewError(message string, expected ...string) *Error
	value()
}

// Text is a quoted string or a bare name.
type Text struct {
	text string
	pos  Position
}

// Text returns the text, without quotes.
func (t Text) Text() string { return t.text }

// NewError returns an error at the position of the value.
func (t Text) NewError(message string, expected ...string) *Error {
	return newError(t.pos, message, expected)
}

// Quantity is a number, with or without a unit. The meaning of the unit depends
// on the column: 500m is half a core, or 500 minutes.
type Quantity struct {
	literal string
	pos     Position
}

// Literal returns the quantity as it was written.
func (q Quantity) Literal() string { return q.literal }

// NewError returns an error at the position of the value.
func (q Quantity) NewError(message string, expected ...string) *Error {
	return newError(q.pos, message, expected)
}

// Why asks why a task is placed where it is, or why it waits.
type Why struct {
	task namer.TaskID
}

// Task returns the task.
func (w Why) Task() namer.TaskID { return w.task }

// CommandOptions holds the options that every command may have.
type CommandOptions struct {
	// base is 0 if none was given. Only Set and Unset have one.
	base     namer.Offset
	identity string
	dryRun   bool
}

// Base returns the offset of the configuration on which the change is based, 0
// for the configuration in force.
func (o CommandOptions) Base() namer.Offset { return o.base }

// Identity returns the identity that the operator chose for the command, empty
// if there is none. A command that is repeated with the same identity takes
// effect once.
func (o CommandOptions) Identity() string { return o.identity }

// DryRun reports whether the command is only checked and not run.
func (o CommandOptions) DryRun() bool { return o.dryRun }

// Submit submits a job.
type Submit struct {
	jobKind recorder.JobKind
	name    string
	team    string
	// tasks is at least 1.
	tasks int
	// size is not zero.
	size sizer.Size
	// runTime is 0 for a service, and if it was not given.
	runTime        time.Duration
	urgent         bool
	dataCentre     string
	commandOptions CommandOptions
}

// JobKind returns the kind of the job, which determines how it is placed.
func (s Submit) JobKind() recorder.JobKind { return s.jobKind }

// Name returns the name of the job.
func (s Submit) Name() string { return s.name }

// Team returns the team to which the job's usage is charged.
func (s Submit) Team() string { return s.team }

// Tasks returns the number of tasks.
func (s Submit) Tasks() int { return s.tasks }

// Size returns the resources that each task needs.
func (s Submit) Size() sizer.Size { return s.size }

// RunTime returns the declared run time of each task, 0 if it is unlimited.
func (s Submit) RunTime() time.Duration { return s.runTime }

// Urgent reports whether the job may preempt batch work.
func (s Submit) Urgent() bool { return s.urgent }

// DataCentre returns the data centre in which the job is to run, empty for that
// of the entry that receives the statement.
func (s Submit) DataCentre() string { return s.dataCentre }

// CommandOptions returns the options that every command may have.
func (s Submit) CommandOptions() CommandOptions { return s.commandOptions }

// Stop stops a job.
type Stop struct {
	job            string
	commandOptions CommandOptions
}

// Job returns the identity of the job.
func (s Stop) Job() string { return s.job }

// CommandOptions returns the options that every command may have.
func (s Stop) CommandOptions() CommandOptions { return s.commandOptions }

// HostKind is the kind of a host: worker or minion.
type HostKind string

// The kinds of host.
const (
	Worker HostKind = "worker"
	Minion HostKind = "minion"
)

// Drain stops new work from being placed on a host.
type Drain struct {
	kind           HostKind
	name           string
	commandOptions CommandOptions
}

// Kind returns the kind of the host.
func (d Drain) Kind() HostKind { return d.kind }

// Name returns the name of the host.
func (d Drain) Name() string { return d.name }

// CommandOptions returns the options that every command may have.
func (d Drain) CommandOptions() CommandOptions { return d.commandOptions }

// Resume lets new work be placed on a drained host again.
type Resume struct {
	kind           HostKind
	name           string
	commandOptions CommandOptions
}

// Kind returns the kind of the host.
func (r Resume) Kind() HostKind { return r.kind }

// Name returns the name of the host.
func (r Resume) Name() string { return r.name }

// CommandOptions returns the options that every command may have.
func (r Resume) CommandOptions() CommandOptions { return r.commandOptions }

// Set sets one entry of the configuration.
type Set struct {
	setting        Setting
	commandOptions CommandOptions
}

// Setting returns what is set.
func (s Set) Setting() Setting { return s.setting }

// CommandOptions returns the options that every command may have.
func (s Set) CommandOptions() CommandOptions { return s.commandOptions }

// Setting is a change of one entry of the configuration: a TeamSetting, a
// ServiceSetting or an EntrySetting.
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
	// weight and shares are nil, and hasQuota is false, if they are not
	// changed.
	weight   *float64
	shares   *float64
	hasQuota bool
	quota    sizer.Size
}

// ServiceSetting changes the named fields of the entry "service/NAME".
type ServiceSetting struct {
	name string
	// A nil field is not changed.
	team     *string
	queue    *int
	deadline *time.Duration
	attempt  *time.Duration
}

// EntrySetting replaces the value of any entry.
type EntrySetting struct {
	key string
	// value is valid JSON without white space between tokens.
	value json.RawMessage
}

// Unset removes one entry of the configuration.
type Unset struct {
	key            string
	commandOptions CommandOptions
}

// Key returns the key of the entry.
func (u Unset) Key() string { return u.key }

// CommandOptions returns the options that every command may have.
func (u Unset) CommandOptions() CommandOptions { return u.commandOptions }

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

// WithIdentity returns the command with the given identity, unless it already
// has one. A client chooses the identity before it sends the command, so that a
// command whose answer was lost can be repeated and takes effect once.
func WithIdentity(c Command, identity string) Command {
	options := c.CommandOptions()
	if options.identity != "" {
		return c
	}
	options.identity = identity
	switch c := c.(type) {
	case Submit:
		c.commandOptions = options
		return c
	case Stop:
		c.commandOptions = options
		return c
	case Drain:
		c.commandOptions = options
		return c
	case Resume:
		c.commandOptions = options
		return c
	case Set:
		c.commandOptions = options
		return c
	case Unset:
		c.commandOptions = options
		return c
	default:
		return c
	}
}
