// Package parser parses the operators' language: it turns a statement into a
// typed tree, and a tree back into its canonical text. docs/LANGUAGE.md
// describes the language.
//
// The package covers the grammar and the units. It does not check whether a
// table has a column or whether a team or a job exists, and it runs nothing.
package parser

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

const (
	// MaxText is the greatest length of a text in bytes.
	MaxText = 64 << 10
	// maxDepth is the greatest nesting depth of brackets.
	maxDepth = 64
)

var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
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

// namePattern matches a name that needs no quotes.
const namePattern = `[A-Za-z_][A-Za-z0-9_.-]*`

var grammar = participle.MustBuild[rawScript](
	participle.Lexer(lexerDefinition),
	participle.Elide("space"),
	// A lookahead of 0 makes the next token choose the branch, so that an error
	// is reported at the first token that fits none.
	participle.UseLookahead(0),
)

// Parse parses one statement. The error is an *Error.
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

// ParseAll parses the statements of a text, which are separated by semicolons.
// It returns at least one statement, or an *Error for the first fault.
func ParseAll(text string) ([]Statement, error) {
	if err := checkLimits(text); err != nil {
		return nil, err
	}
	script, err := grammar.ParseString("", text)
	if err != nil {
		return nil, explainError(text, err)
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

// checkLimits rejects a text that is too long or too deeply nested for the
// recursive parser.
func checkLimits(text string) error {
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
		return explainError(text, err)
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

// positionedError returns the error of the grammar that err wraps, which has a
// position, and false if there is none.
func positionedError(err error) (participle.Error, bool) {
	var positioned participle.Error
	ok := errors.As(err, &positioned)
	return positioned, ok
}
