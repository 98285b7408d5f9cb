// Package commander defines the protocol of the operators' port of an entry,
// and implements its client. A statement is sent as JSON over HTTP; the answer is a
// table or the outcome of a command. docs/INTERFACES.md describes the protocol.
//
// The package does not interpret the operators' language: package parser parses
// it, and the entry runs it.
package commander

import (
	"fmt"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/namer"
)

// Path is the URL path to which statements are posted.
const Path = "/v1/do"

// Request is the body that a client posts to Path.
type Request struct {
	// Statement is one statement of the operators' language.
	Statement string `json:"statement"`
}

// Answer is the body of the answer to a statement that was understood. Exactly
// one of its fields is set.
type Answer struct {
	// Command is the result of a command.
	Command *Result `json:"command,omitempty"`
	// Table is the result of a query.
	Table *answerer.Table `json:"table,omitempty"`
}

// Outcome is the outcome of a command.
type Outcome string

// The outcomes.
const (
	// Accepted commands have been read back from the log.
	Accepted Outcome = "accepted"
	// Refused commands have had no effect and will have none.
	Refused Outcome = "refused"
	// Unknown commands may take effect. They can be repeated safely with the
	// same identity.
	Unknown Outcome = "unknown"
	// Checked commands were a dry run and have no effect.
	Checked Outcome = "checked"
)

// Result is the result of a command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Identity is the identity of the command. The identity of a job is that of
	// the command that submitted it.
	Identity string `json:"identity"`
	// Offset is the offset of the command in the log, 0 if it is not known.
	Offset namer.Offset `json:"offset,omitempty"`
	// Reason explains every outcome other than Accepted. For a dry run it lists
	// what the command would change.
	Reason string `json:"reason,omitempty"`
}

// Problem is the body of the answer to a request that the entry rejected, and
// the error that the client returns for it.
type Problem struct {
	Message string `json:"message"`
	// Line and Column are the position of the fault in the statement, counted
	// from 1, or 0 if the problem has no position.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"-"`
}

// Error returns the message.
func (p *Problem) Error() string {
	return fmt.Sprintf("commander: %s", p.Message)
}
