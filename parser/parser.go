// Package parser reads the operators' language: it turns a statement into a
// typed tree, and a tree back into its canonical text. docs/LANGUAGE.md
// describes the language.
//
// The package knows the grammar and the units. It does not know which columns
// a table has, nor whether a team or a job exists, and it runs nothing.
package parser

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

const (
	// MaxText is the greatest length in bytes of a text.
	MaxText = 64 << 10
	// maxDepth is how deep brackets are nested.
	maxDepth = 64
)

var definition = lexer.MustSimple([]lexer.SimpleRule{
	{
		Name:    "space",
		Pattern: `\s+|#[^\n]*`,
	},
	{
		Name:    "String",
		Pattern: `"(\\.|[^"\\\n])*"`,
	},
	{
		Name:    "Number",
		Pattern: `-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+|[A-Za-zµ]+([0-9]+(\.[0-9]+)?[A-Za-zµ]+)*)?`,
	},
	{
		Name:    "Name",
		Pattern: namePattern,
	},
	{
		Name:    "Sign",
		Pattern: `!=|<=|>=|[=<>~(),;:{}\[\]]`,
	},
	{
		Name:    "Other",
		Pattern: `(?s).`,
	},
})

// namePattern is what a name looks like that needs no quotes.
const namePattern = `[A-Za-z_][A-Za-z0-9_.-]*`

var grammar = participle.MustBuild[rawScript](
	participle.Lexer(definition),
	participle.Elide("space"),
	// The next token always chooses the branch, so that an error stands at the
	// first token that fits none.
	participle.UseLookahead(0),
)

// Parse reads one statement. The error is *Error.
func Parse(text string) (Statement, error) {
	statements, err := ParseAll(text)
	if err != nil {
		return nil, err
	}
	if len(statements) > 1 {
		return nil, &Error{
			pos: Position{
				line:   1,
				column: 1,
			},
			message: "more than one statement",
		}
	}
	return statements[0], nil
}

// ParseAll reads the statements of a text, which are separated by semicolons.
// There is at least one. The error is *Error, and tells the first fault.
func ParseAll(text string) ([]Statement, error) {
	if err := checkText(text); err != nil {
		return nil, err
	}
	script, err := grammar.ParseString("", text)
	if err != nil {
		return nil, explain(text, err)
	}
	var b builder
	var statements []Statement
	for _, raw := range script.Statements {
		statements = append(statements, b.statement(raw))
	}
	if b.err != nil {
		return nil, b.err
	}
	return statements, nil
}

// checkText refuses a text that would take the grammar too far.
func checkText(text string) error {
	if len(text) > MaxText {
		return &Error{
			pos: Position{
				line:   1,
				column: 1,
			},
			message: "the text is too long",
		}
	}
	tokens, err := grammar.Lex("", stringReader(text))
	if err != nil {
		return explain(text, err)
	}
	depth := 0
	for _, token := range tokens {
		switch token.Value {
		case "(", "[", "{":
			depth++
		case ")", "]", "}":
			depth--
		}
		if depth > maxDepth {
			return &Error{
				pos:     positionOf(token.Pos),
				message: "brackets are nested too deep",
			}
		}
	}
	return nil
}

// tokenError returns what the grammar found wrong, and false for an error
// without a place.
func tokenError(err error) (participle.Error, bool) {
	var found participle.Error
	ok := errors.As(err, &found)
	return found, ok
}
