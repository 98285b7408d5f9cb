// Package commander holds the protocol of the operators' port of an entry, and
// its client. A statement goes out as JSON over HTTP, and a table or the
// outcome of a command comes back. docs/INTERFACES.md describes it.
//
// The package does not know the operators' language: parser reads it, and the
// entry runs it.
package commander

import (
	"fmt"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/namer"
)

// Path is where statements are posted.
const Path = "/v1/do"

// Ask is the request.
type Ask struct {
	// Statement is one statement of the operators' language.
	Statement string `json:"statement"`
}

// Answer is the answer to a statement that was understood. One of its fields
// is set.
type Answer struct {
	// Command says what became of a command.
	Command *Result `json:"command,omitempty"`
	// Table answers a query.
	Table *answerer.Table `json:"table,omitempty"`
}

// Outcome says what became of a command.
type Outcome string

// The outcomes.
const (
	// Accepted commands have been read back from the log.
	Accepted Outcome = "accepted"
	// Refused commands have had no effect and will have none.
	Refused Outcome = "refused"
	// Unknown commands may take effect. They can be given again with the same
	// identity.
	Unknown Outcome = "unknown"
	// Checked commands were a dry run.
	Checked Outcome = "checked"
)

// Result says what became of a command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Identity names the command; a job has the identity of its submission.
	Identity string `json:"identity"`
	// Offset is where the log has the command, 0 if that is not known.
	Offset namer.Offset `json:"offset,omitempty"`
	// Reason explains every outcome other than Accepted, and what a dry run
	// would touch.
	Reason string `json:"reason,omitempty"`
}

// Problem is the answer to a request that was not understood, and the error
// that the client returns for it.
type Problem struct {
	Message string `json:"message"`
	// Line and Column are where the statement is wrong, from 1, or 0.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"-"`
}

// Error returns the message.
func (p *Problem) Error() string {
	return fmt.Sprintf("commander: %s", p.Message)
}
