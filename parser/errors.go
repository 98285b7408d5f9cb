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

// Position is a place in a text.
type Position struct {
	// line and column count from 1; a column is one character.
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

// Error says what is wrong with a statement, where, and what was expected
// there.
type Error struct {
	pos     Position
	message string
	// expected is empty where the message says it all.
	expected []string
}

func newError(pos Position, message string, expected []string) *Error {
	return &Error{
		pos:      pos,
		message:  message,
		expected: expected,
	}
}

// Pos returns the place of the fault.
func (e *Error) Pos() Position { return e.pos }

// Expected returns what could stand at the place, in the language's own words,
// such as "where" or "a name". It is empty if the message says it all.
func (e *Error) Expected() []string { return e.expected }

// Error returns the fault as line:column: message, expected ...
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

// sample is a token, with the words that an error has for it.
type sample struct {
	text string
	name string
}

// kinds are tokens that stand for all of their kind.
var kinds = []sample{
	{
		text: "x",
		name: "a name",
	},
	{
		text: `"x"`,
		name: "a string",
	},
	{
		text: "1",
		name: "a number",
	},
}

// explain turns an error of the grammar into one that says what could stand at
// its place. That is found by putting each word there and looking whether the
// grammar gets past it.
func explain(text string, err error) *Error {
	found, ok := tokenError(err)
	if !ok {
		return &Error{
			message: err.Error(),
		}
	}
	place := found.Position()
	explained := &Error{
		pos:      positionOf(place),
		message:  describe(text, found),
		expected: expectedAt(text[:min(place.Offset, len(text))]),
	}
	return explained
}

func describe(text string, err participle.Error) string {
	offset := err.Position().Offset
	if offset >= len(text) {
		return "the statement ends too early"
	}
	const longest = 24
	word := []rune(text[offset:])
	// The first character is never a blank of the language.
	if end := slices.IndexFunc(word[1:], unicode.IsSpace); end >= 0 {
		word = word[:end+1]
	}
	return fmt.Sprintf("unexpected %q", string(word[:min(len(word), longest)]))
}

// maxExplained is the greatest length in bytes of a statement for which it is
// worked out what was expected.
const maxExplained = 4 << 10

// lastStatement returns the statement that the text ends in.
func lastStatement(text string) string {
	// The text was read before, up to its end.
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

// expectedAt returns what can follow the text, none if that takes too long to
// find.
func expectedAt(prefix string) []string {
	prefix = lastStatement(prefix)
	if len(prefix) > maxExplained {
		return nil
	}
	var expected []string
	anyName := false
	for _, kind := range kinds {
		if accepts(prefix, kind.text) {
			expected = append(expected, kind.name)
			anyName = anyName || kind.text == "x"
		}
	}
	for _, word := range vocabulary() {
		// Where any name may stand, a keyword is just a name.
		if anyName && isWord(word) {
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

// accepts reports whether the grammar gets past the word after the prefix.
func accepts(prefix, word string) bool {
	_, err := grammar.ParseString("", prefix+" "+word)
	if err == nil {
		return true
	}
	found, ok := tokenError(err)
	return ok && found.Position().Offset > len(prefix)+1
}

// vocabulary returns the keywords and signs of the grammar, sorted.
func vocabulary() []string {
	words := slices.Concat(keywords, signs)
	slices.Sort(words)
	return words
}

func stringReader(text string) io.Reader { return strings.NewReader(text) }
