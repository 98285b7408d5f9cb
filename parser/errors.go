package parser

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Position is a position in a text.
type Position struct {
	// line and column count from 1. A column is one character.
	line   int
	column int
}

// Line returns the line, counted from 1.
func (p Position) Line() int { return p.line }

// Column returns the column in characters, counted from 1.
func (p Position) Column() int { return p.column }

// String returns the position as line:column.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.line, p.column) }

func positionOf(p lexer.Position) Position {
	return Position{
		line:   p.Line,
		column: p.Column,
	}
}

// Error is a fault in a statement, with its position and what was expected
// there.
type Error struct {
	pos     Position
	message string
	// expected lists what the language allows at pos, such as "where" or "a
	// name". It is empty if the message suffices.
	expected []string
}

func newError(pos Position, message string, expected []string) *Error {
	return &Error{
		pos:      pos,
		message:  message,
		expected: expected,
	}
}

// Pos returns the position of the fault.
func (e *Error) Pos() Position { return e.pos }

// Expected returns what the language allows at the position, such as "where" or
// "a name". It is empty if the message suffices.
func (e *Error) Expected() []string { return e.expected }

// Error returns the fault as "line:column: message, expected ...".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.pos, e.message)
	if len(e.expected) == 0 {
		return text
	}
	last := len(e.expected) - 1
	list := e.expected[last]
	if last > 0 {
		list = strings.Join(e.expected[:last], ", ") + " or " + list
	}
	return text + ", expected " + list
}

// probe is a token to try at a position, with the description that errors use
// for it.
type probe struct {
	text        string
	description string
}

// tokenKinds has one probe for each kind of token whose text is not fixed.
var tokenKinds = []probe{
	{
		text:        "x",
		description: "a name",
	},
	{
		text:        `"x"`,
		description: "a string",
	},
	{
		text:        "1",
		description: "a number",
	},
}

// explainError converts an error of the grammar into one that lists what is
// allowed at its position. It tries each token there, and checks whether the
// grammar accepts it.
func explainError(text string, err error) *Error {
	grammarErr, ok := positionedError(err)
	if !ok {
		return &Error{
			message: err.Error(),
		}
	}
	position := grammarErr.Position()
	explained := &Error{
		pos:      positionOf(position),
		message:  describeUnexpected(text, grammarErr),
		expected: expectedAt(text[:min(position.Offset, len(text))]),
	}
	return explained
}

func describeUnexpected(text string, err participle.Error) string {
	offset := err.Position().Offset
	if offset >= len(text) {
		return "the statement ends too early"
	}
	const maxRunes = 24
	word := []rune(text[offset:])
	// The lexer elides white space, so the first character is not white space.
	if end := slices.IndexFunc(word[1:], unicode.IsSpace); end >= 0 {
		word = word[:end+1]
	}
	return fmt.Sprintf("unexpected %q", string(word[:min(len(word), maxRunes)]))
}

// maxExplainedBytes is the greatest length of a statement for which expected
// tokens are computed.
const maxExplainedBytes = 4 << 10

// lastStatement returns the last statement of the text. If other statements
// come before it, a short one replaces them, since other tokens are allowed
// after a semicolon than at the start of a text.
func lastStatement(text string) string {
	// The text was lexed before, so this cannot fail.
	tokens, _ := grammar.Lex("", stringReader(text))
	start := 0
	for _, token := range tokens {
		if token.Value == ";" {
			start = token.Pos.Offset
		}
	}
	if start == 0 {
		return text
	}
	return "show jobs" + text[start:]
}

// expectedAt returns descriptions of the tokens that can follow the prefix,
// none if the last statement of the prefix is too long for the search.
func expectedAt(prefix string) []string {
	prefix = lastStatement(prefix)
	if len(prefix) > maxExplainedBytes {
		return nil
	}
	var expected []string
	anyName := false
	for _, kind := range tokenKinds {
		if accepts(prefix, kind.text) {
			expected = append(expected, kind.description)
			anyName = anyName || kind.text == "x"
		}
	}
	for _, word := range fixedTokens() {
		// Where any name is allowed, a keyword counts as a name.
		if anyName && isName(word) {
			continue
		}
		if accepts(prefix, word) {
			expected = append(expected, word)
		}
	}
	if _, err := grammar.ParseString("", prefix); err == nil {
		expected = append(expected, "the end")
	}
	return expected
}

// accepts reports whether the grammar accepts the word after the prefix.
func accepts(prefix, word string) bool {
	_, err := grammar.ParseString("", prefix+" "+word)
	if err == nil {
		return true
	}
	grammarErr, ok := positionedError(err)
	return ok && grammarErr.Position().Offset > len(prefix)+1
}

// fixedTokens returns the keywords and punctuation of the grammar, sorted.
func fixedTokens() []string {
	words := slices.Concat(keywords, punctuation)
	slices.Sort(words)
	return words
}

func stringReader(text string) io.Reader { return strings.NewReader(text) }
