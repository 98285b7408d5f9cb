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

// Print returns the canonical text of a statement, in one line. Parsing it
// gives the same statement, except for the positions of columns and values.
func Print(s Statement) string {
	var p printer
	switch s := s.(type) {
	case Show:
		p.show(s)
	case Why:
		p.add("why task", quote(s.task.String()))
	case Submit:
		p.submit(s)
	case Stop:
		p.add("stop job", quote(s.job))
		p.commandOptions(s.commandOptions)
	case Drain:
		p.add("drain", string(s.kind), quote(s.name))
		p.commandOptions(s.commandOptions)
	case Resume:
		p.add("resume", string(s.kind), quote(s.name))
		p.commandOptions(s.commandOptions)
	case Set:
		p.set(s)
	case Unset:
		p.add("unset", quote(s.key))
		p.commandOptions(s.commandOptions)
	}
	return strings.Join(p.words, " ")
}

type printer struct {
	words []string
}

func (p *printer) add(words ...string) {
	p.words = append(p.words, words...)
}

// quote returns a text as a quoted string of the language.
func quote(text string) string {
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	// Encoding a string cannot fail.
	_ = encoder.Encode(text)
	return strings.TrimSpace(b.String())
}

// nameOrString returns a text as a bare name if the language allows it, and
// quoted if not.
func nameOrString(text string) string {
	if isName(text) && !slices.Contains(keywords, text) {
		return text
	}
	return quote(text)
}

func (p *printer) commandOptions(o CommandOptions) {
	if o.base != 0 {
		p.add("base", strconv.FormatUint(uint64(o.base), 10))
	}
	if o.identity != "" {
		p.add("as", quote(o.identity))
	}
	if o.dryRun {
		p.add("dry run")
	}
}

func (p *printer) show(s Show) {
	p.add("show", string(s.table))
	if s.at != 0 {
		p.add("at", strconv.FormatUint(uint64(s.at), 10))
	}
	if s.since.offset != 0 {
		p.add("since", strconv.FormatUint(uint64(s.since.offset), 10))
	}
	if s.since.ago != 0 {
		p.add("since", s.since.ago.String())
	}
	if s.where != nil {
		p.add("where", printExpr(s.where))
	}
	if len(s.countBy) > 0 {
		p.add("count by", joinEach(s.countBy, Column.Name))
	}
	if len(s.orderBy) > 0 {
		p.add("order by", joinEach(s.orderBy, printOrder))
	}
	if s.limit != 0 {
		p.add("limit", strconv.Itoa(s.limit))
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
			texts = append(texts, printOperand(term, false))
		}
		return strings.Join(texts, " and ")
	case Not:
		return "not " + printOperand(e.term, true)
	case Comparison:
		return fmt.Sprintf("%s %s %s", e.column.name, e.sign, printValue(e.value))
	case In:
		return fmt.Sprintf("%s in (%s)", e.column.name, joinEach(e.values, printValue))
	default:
		return ""
	}
}

// printOperand puts an operand of "and" or "not" in brackets if its own
// operator binds less tightly.
func printOperand(e Expr, underNot bool) string {
	_, isOr := e.(Or)
	_, isAnd := e.(And)
	if isOr || (isAnd && underNot) {
		return "(" + printExpr(e) + ")"
	}
	return printExpr(e)
}

func printValue(v Value) string {
	switch v := v.(type) {
	case Text:
		return nameOrString(v.text)
	case Quantity:
		return v.literal
	default:
		return ""
	}
}

func (p *printer) submit(s Submit) {
	p.add("submit", string(s.jobKind), quote(s.name), "team", nameOrString(s.team))
	p.add("tasks", strconv.Itoa(s.tasks))
	p.size(s.size)
	if s.runTime != 0 {
		p.add("for", s.runTime.String())
	}
	if s.urgent {
		p.add("urgent")
	}
	if s.dataCentre != "" {
		p.add("at", quote(s.dataCentre))
	}
	p.commandOptions(s.commandOptions)
}

func (p *printer) size(s sizer.Size) {
	if n := s.MilliCores(); n != 0 {
		p.add("cpu", formatCores(n))
	}
	if n := s.Bytes(); n != 0 {
		p.add("memory", formatBytes(n))
	}
	if n := s.Accelerators(); n != 0 {
		p.add("accelerators", strconv.FormatInt(n, 10))
	}
}

func (p *printer) set(s Set) {
	switch setting := s.setting.(type) {
	case TeamSetting:
		p.team(setting)
	case ServiceSetting:
		p.service(setting)
	case EntrySetting:
		p.add("set", quote(setting.key), "=", string(setting.value))
	}
	p.commandOptions(s.commandOptions)
}

func (p *printer) team(t TeamSetting) {
	p.add("set team", nameOrString(t.name))
	if t.weight != nil {
		p.add("weight", formatNumber(*t.weight))
	}
	if t.shares != nil {
		p.add("shares", formatNumber(*t.shares))
	}
	if !t.hasQuota {
		return
	}
	p.add("quota")
	if t.quota.IsZero() {
		p.add("none")
	}
	p.size(t.quota)
}

func (p *printer) service(s ServiceSetting) {
	p.add("set service", nameOrString(s.name))
	if s.team != nil {
		p.add("team", nameOrString(*s.team))
	}
	if s.queue != nil {
		p.add("queue", strconv.Itoa(*s.queue))
	}
	p.duration("deadline", s.deadline)
	p.duration("attempt", s.attempt)
}

func (p *printer) duration(name string, d *time.Duration) {
	if d != nil {
		p.add(name, d.String())
	}
}
