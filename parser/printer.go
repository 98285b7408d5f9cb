package parser

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// Print returns the canonical text of a statement, in one line. Parsed again
// it gives the same statement, save the places of columns and values.
func Print(s Statement) string {
	var p printer
	switch s := s.(type) {
	case Show:
		p.show(s)
	case Why:
		p.word("why task", quote(s.task.String()))
	case Submit:
		p.submit(s)
	case Stop:
		p.word("stop job", quote(s.job))
		p.terms(s.terms)
	case Drain:
		p.word("drain", string(s.kind), quote(s.name))
		p.terms(s.terms)
	case Resume:
		p.word("resume", string(s.kind), quote(s.name))
		p.terms(s.terms)
	case Set:
		p.set(s)
	case Unset:
		p.word("unset", quote(s.key))
		p.terms(s.terms)
	}
	return strings.Join(p.words, " ")
}

type printer struct {
	words []string
}

func (p *printer) word(words ...string) {
	p.words = append(p.words, words...)
}

// quote returns a string as the language reads it.
func quote(text string) string {
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	// A string can always be encoded.
	_ = encoder.Encode(text)
	return strings.TrimSpace(b.String())
}

// bare returns a text as a name if it is one, and in quotes if not.
func bare(text string) string {
	if isWord(text) && !slices.Contains(keywords, text) {
		return text
	}
	return quote(text)
}

func (p *printer) terms(t Terms) {
	if t.base != 0 {
		p.word("base", strconv.FormatUint(uint64(t.base), 10))
	}
	if t.identity != "" {
		p.word("as", quote(t.identity))
	}
	if t.dryRun {
		p.word("dry run")
	}
}

func (p *printer) show(s Show) {
	p.word("show", string(s.table))
	if s.at != 0 {
		p.word("at", strconv.FormatUint(uint64(s.at), 10))
	}
	if s.since.offset != 0 {
		p.word("since", strconv.FormatUint(uint64(s.since.offset), 10))
	}
	if s.since.ago != 0 {
		p.word("since", s.since.ago.String())
	}
	if s.where != nil {
		p.word("where", printExpr(s.where))
	}
	if len(s.countBy) > 0 {
		p.word("count by", joinEach(s.countBy, Column.Name))
	}
	if len(s.orderBy) > 0 {
		p.word("order by", joinEach(s.orderBy, printOrder))
	}
	if s.limit != 0 {
		p.word("limit", strconv.Itoa(s.limit))
	}
}

func printOrder(o Order) string {
	if o.descending {
		return o.column.name + " desc"
	}
	return o.column.name
}

func joinEach[V any](values []V, print func(V) string) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, print(value))
	}
	return strings.Join(texts, ", ")
}

func printExpr(e Expr) string {
	switch e := e.(type) {
	case Or:
		var texts []string
		for _, term := range e.terms {
			texts = append(texts, printExpr(term))
		}
		return strings.Join(texts, " or ")
	case And:
		var texts []string
		for _, term := range e.terms {
			texts = append(texts, printFactor(term, false))
		}
		return strings.Join(texts, " and ")
	case Not:
		return "not " + printFactor(e.term, true)
	case Comparison:
		return fmt.Sprintf("%s %s %s", e.column.name, e.sign, printValue(e.value))
	case In:
		return fmt.Sprintf("%s in (%s)", e.column.name, joinEach(e.values, printValue))
	default:
		return ""
	}
}

// printFactor puts a term in brackets if it binds less than its place.
func printFactor(e Expr, tight bool) string {
	_, isOr := e.(Or)
	_, isAnd := e.(And)
	if isOr || (isAnd && tight) {
		return "(" + printExpr(e) + ")"
	}
	return printExpr(e)
}

func printValue(v Value) string {
	switch v := v.(type) {
	case Text:
		return bare(v.text)
	case Quantity:
		return v.literal
	default:
		return ""
	}
}

func (p *printer) submit(s Submit) {
	p.word("submit", string(s.policy), quote(s.name), "team", bare(s.team))
	p.word("tasks", strconv.Itoa(s.tasks))
	p.size(s.size)
	if s.runTime != 0 {
		p.word("for", s.runTime.String())
	}
	if s.urgent {
		p.word("urgent")
	}
	if s.dataCentre != "" {
		p.word("at", quote(s.dataCentre))
	}
	p.terms(s.terms)
}

func (p *printer) size(s sizer.Size) {
	if n := s.MilliCores(); n != 0 {
		p.word("cpu", formatCores(n))
	}
	if n := s.Bytes(); n != 0 {
		p.word("memory", formatBytes(n))
	}
	if n := s.Accelerators(); n != 0 {
		p.word("accelerators", strconv.FormatInt(n, 10))
	}
}

func (p *printer) set(s Set) {
	switch setting := s.setting.(type) {
	case TeamSetting:
		p.team(setting)
	case ServiceSetting:
		p.service(setting)
	case EntrySetting:
		p.word("set", quote(setting.key), "=", string(setting.value))
	}
	p.terms(s.terms)
}

func (p *printer) team(t TeamSetting) {
	p.word("set team", bare(t.name))
	if t.weight != nil {
		p.word("weight", formatNumber(*t.weight))
	}
	if t.shares != nil {
		p.word("shares", formatNumber(*t.shares))
	}
	if !t.hasQuota {
		return
	}
	p.word("quota")
	if t.quota.IsZero() {
		p.word("none")
	}
	p.size(t.quota)
}

func (p *printer) service(s ServiceSetting) {
	p.word("set service", bare(s.name))
	if s.team != nil {
		p.word("team", bare(*s.team))
	}
	if s.queue != nil {
		p.word("queue", strconv.Itoa(*s.queue))
	}
	p.duration("deadline", s.deadline)
	p.duration("attempt", s.attempt)
}

func (p *printer) duration(name string, d *time.Duration) {
	if d != nil {
		p.word(name, d.String())
	}
}
