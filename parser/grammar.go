package parser

import (
	"regexp"

	"github.com/alecthomas/participle/v2/lexer"
)

// The types in this file define the grammar in participle's notation. Their
// fields are exported because participle sets them by reflection.

// keywords lists the keywords of the grammar below, for error messages.
var keywords = []string{
	"accelerators", "and", "as", "asc", "at", "attempt", "audit", "base",
	"batch", "by", "config", "count", "cpu", "deadline", "desc", "drain", "dry",
	"false", "for", "gang", "in", "job", "jobs", "limit", "members",
	"memory", "minion", "minions", "none", "not", "null", "offsets",
	"or", "order", "queue", "quota", "resume", "run", "service",
	"services", "set", "shares", "show", "since", "stop", "submit", "task",
	"tasks", "team", "teams", "true", "unset", "urgent", "weight", "where",
	"why", "worker", "workers",
}

// punctuation lists the operators and punctuation of the grammar below.
var punctuation = []string{
	"=", "!=", "<", "<=", ">", ">=", "~", "(", ")", ",", ";", ":", "{", "}", "[", "]",
}

var bareNamePattern = regexp.MustCompile(`^` + namePattern + `$`)

func isName(text string) bool { return bareNamePattern.MatchString(text) }

type rawScript struct {
	Statements []*rawStatement `parser:"@@ ( ';' @@? )*"`
}

type rawStatement struct {
	Show   *rawShow   `parser:"  'show' @@"`
	Why    *rawText   `parser:"| 'why' 'task' @@"`
	Submit *rawSubmit `parser:"| 'submit' @@"`
	Stop   *rawStop   `parser:"| 'stop' 'job' @@"`
	Drain  *rawDrain  `parser:"| 'drain' @@"`
	Resume *rawDrain  `parser:"| 'resume' @@"`
	Set    *rawSet    `parser:"| 'set' @@"`
	Unset  *rawUnset  `parser:"| 'unset' @@"`
}

// rawText is a name, bare or quoted.
type rawText struct {
	Pos  lexer.Position
	Text string `parser:"@( String | Name )"`
}

// rawNumber is a number, with or without a unit.
type rawNumber struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type rawShow struct {
	Table   string       `parser:"( @( 'tasks' | 'workers' | 'minions' | 'jobs' | 'teams' | 'members' | 'services' | 'offsets' )"`
	Config  bool         `parser:"| @'config'"`
	At      *rawNumber   `parser:"  ( 'at' @@ )?"`
	Audit   bool         `parser:"| @'audit'"`
	Since   *rawNumber   `parser:"  ( 'since' @@ )? )"`
	Where   *rawOr       `parser:"( 'where' @@ )?"`
	CountBy []*rawColumn `parser:"( 'count' 'by' @@ ( ',' @@ )* )?"`
	OrderBy []*rawOrder  `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit   *rawNumber   `parser:"( 'limit' @@ )?"`
}

type rawColumn struct {
	Pos  lexer.Position
	Name string `parser:"@Name"`
}

type rawOrder struct {
	Column     *rawColumn `parser:"@@"`
	Descending bool       `parser:"( @'desc' | 'asc' )?"`
}

type rawOr struct {
	Terms []*rawAnd `parser:"@@ ( 'or' @@ )*"`
}

type rawAnd struct {
	Terms []*rawTerm `parser:"@@ ( 'and' @@ )*"`
}

type rawTerm struct {
	Nots       []string       `parser:"@'not'*"`
	Group      *rawOr         `parser:"( '(' @@ ')'"`
	Comparison *rawComparison `parser:"| @@ )"`
}

type rawComparison struct {
	Column *rawColumn  `parser:"@@"`
	Sign   string      `parser:"( @( '=' | '!=' | '<=' | '>=' | '<' | '>' | '~' )"`
	Value  *rawValue   `parser:"  @@"`
	In     []*rawValue `parser:"| 'in' '(' @@ ( ',' @@ )* ')' )"`
}

type rawValue struct {
	Text   *rawText   `parser:"  @@"`
	Number *rawNumber `parser:"| @@"`
}

type rawSubmit struct {
	Kind    string       `parser:"@( 'batch' | 'service' | 'gang' )"`
	Name    *rawText     `parser:"@@"`
	Options []*rawOption `parser:"@@*"`
}

// rawOption is one option of a submit.
type rawOption struct {
	Pos     lexer.Position
	Team    *rawText   `parser:"  'team' @@"`
	Tasks   *rawNumber `parser:"| 'tasks' @@"`
	Amount  *rawAmount `parser:"| @@"`
	For     *rawNumber `parser:"| 'for' @@"`
	Urgent  bool       `parser:"| @'urgent'"`
	At      *rawText   `parser:"| 'at' @@"`
	Command *rawTerms  `parser:"| @@"`
}

type rawAmount struct {
	Pos          lexer.Position
	CPU          *rawNumber `parser:"  'cpu' @@"`
	Memory       *rawNumber `parser:"| 'memory' @@"`
	Accelerators *rawNumber `parser:"| 'accelerators' @@"`
}

// rawTerms is one of the options that every command may have.
type rawTerms struct {
	Pos    lexer.Position
	Base   *rawNumber `parser:"  'base' @@"`
	As     *rawText   `parser:"| 'as' @@"`
	DryRun bool       `parser:"| @( 'dry' 'run' )"`
}

type rawStop struct {
	Job   *rawText    `parser:"@@"`
	Terms []*rawTerms `parser:"@@*"`
}

type rawDrain struct {
	Kind  string      `parser:"@( 'worker' | 'minion' )"`
	Name  *rawText    `parser:"@@"`
	Terms []*rawTerms `parser:"@@*"`
}

type rawSet struct {
	Team    *rawTeam    `parser:"( 'team' @@"`
	Service *rawService `parser:"| 'service' @@"`
	Entry   *rawEntry   `parser:"| @@ )"`
	Terms   []*rawTerms `parser:"@@*"`
}

type rawTeam struct {
	Name    *rawText         `parser:"@@"`
	Options []*rawTeamOption `parser:"@@+"`
}

type rawTeamOption struct {
	Pos    lexer.Position
	Weight *rawNumber `parser:"  'weight' @@"`
	Shares *rawNumber `parser:"| 'shares' @@"`
	Quota  *rawQuota  `parser:"| 'quota' @@"`
}

type rawQuota struct {
	None    bool         `parser:"  @'none'"`
	Amounts []*rawAmount `parser:"| @@+"`
}

type rawService struct {
	Name    *rawText            `parser:"@@"`
	Options []*rawServiceOption `parser:"@@+"`
}

type rawServiceOption struct {
	Pos      lexer.Position
	Team     *rawText   `parser:"  'team' @@"`
	Queue    *rawNumber `parser:"| 'queue' @@"`
	Deadline *rawNumber `parser:"| 'deadline' @@"`
	Attempt  *rawNumber `parser:"| 'attempt' @@"`
}

type rawEntry struct {
	Pos   lexer.Position
	Key   string   `parser:"@String '='"`
	Value *rawJSON `parser:"@@"`
}

type rawUnset struct {
	Team    *rawText `parser:"( 'team' @@"`
	Service *rawText `parser:"| 'service' @@"`
	Pos     lexer.Position
	Key     string      `parser:"| @String )"`
	Terms   []*rawTerms `parser:"@@*"`
}

// rawJSON is a JSON value. Only its tokens are used.
type rawJSON struct {
	Pos    lexer.Position
	Tokens []lexer.Token
	Pairs  []*rawPair `parser:"  '{' ( @@ ( ',' @@ )* )? '}'"`
	Values []*rawJSON `parser:"| '[' ( @@ ( ',' @@ )* )? ']'"`
	Scalar string     `parser:"| @( String | Number | 'true' | 'false' | 'null' )"`
}

type rawPair struct {
	Key   string   `parser:"@String ':'"`
	Value *rawJSON `parser:"@@"`
}
