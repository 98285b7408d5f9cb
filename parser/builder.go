package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// maxCount is the greatest number of tasks, rows and waiting requests.
const maxCount = 1 << 31

// builder turns what the grammar read into the tree, and checks what a grammar
// cannot. It goes on after a fault and keeps the first.
type builder struct {
	err *Error
}

func (b *builder) fault(pos lexer.Position, message string, expected ...string) {
	if b.err != nil {
		return
	}
	b.err = newError(positionOf(pos), message, expected)
}

func (b *builder) statement(raw *rawStatement) Statement {
	switch {
	case raw.Show != nil:
		return b.show(raw.Show)
	case raw.Why != nil:
		return b.why(raw.Why)
	case raw.Submit != nil:
		return b.submit(raw.Submit)
	case raw.Stop != nil:
		return Stop{
			job:   b.text(raw.Stop.Job),
			terms: b.terms(raw.Stop.Terms, false),
		}
	case raw.Drain != nil:
		return Drain{
			kind:  HostKind(raw.Drain.Kind),
			name:  b.text(raw.Drain.Name),
			terms: b.terms(raw.Drain.Terms, false),
		}
	case raw.Resume != nil:
		return Resume{
			kind:  HostKind(raw.Resume.Kind),
			name:  b.text(raw.Resume.Name),
			terms: b.terms(raw.Resume.Terms, false),
		}
	case raw.Set != nil:
		return b.set(raw.Set)
	default:
		return b.unset(raw.Unset)
	}
}

// text returns a name, which must not be empty.
func (b *builder) text(raw *rawText) string {
	text := b.unquote(raw.Pos, raw.Text)
	if text == "" {
		b.fault(raw.Pos, "the name is empty")
	}
	return text
}

// unquote returns the text of a string, or a bare name as it is.
func (b *builder) unquote(pos lexer.Position, token string) string {
	if !strings.HasPrefix(token, `"`) {
		return token
	}
	var text string
	if err := json.Unmarshal([]byte(token), &text); err != nil {
		b.fault(pos, "the string is not quoted as in JSON")
	}
	return text
}

// quantity reads a number by the function for its unit.
func quantity[Q any](b *builder, raw *rawNumber, read func(string) (Q, error)) Q {
	value, err := read(raw.Text)
	var unit *UnitError
	if errors.As(err, &unit) {
		b.fault(raw.Pos, fmt.Sprintf("unexpected %q", unit.text), unit.want)
	}
	return value
}

// count reads a whole number that is at least least.
func (b *builder) count(raw *rawNumber, least int) int {
	n := quantity(b, raw, ParseCount)
	if n < int64(least) || n > maxCount {
		b.fault(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), fmt.Sprintf("a whole number from %d to %d", least, maxCount))
	}
	return int(n)
}

func (b *builder) offset(raw *rawNumber) namer.Offset {
	n := quantity(b, raw, ParseCount)
	if n < 1 {
		b.fault(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), "an offset from 1")
	}
	return namer.Offset(n)
}

func (b *builder) show(raw *rawShow) Show {
	show := Show{
		table: Table(raw.Table),
	}
	switch {
	case raw.Config:
		show.table = Config
	case raw.Audit:
		show.table = Audit
	}
	if raw.At != nil {
		show.at = b.offset(raw.At)
	}
	if raw.Since != nil {
		show.since = b.since(raw.Since)
	}
	if raw.Where != nil {
		show.where = b.or(raw.Where)
	}
	for _, column := range raw.CountBy {
		show.countBy = append(show.countBy, newColumn(column))
	}
	for _, order := range raw.OrderBy {
		show.orderBy = append(show.orderBy, Order{
			column:     newColumn(order.Column),
			descending: order.Descending,
		})
	}
	if raw.Limit != nil {
		show.limit = b.count(raw.Limit, 1)
	}
	return show
}

// since reads an offset, or a time with a unit.
func (b *builder) since(raw *rawNumber) Since {
	if _, err := strconv.ParseUint(raw.Text, 10, 64); err == nil {
		return Since{
			offset: b.offset(raw),
		}
	}
	return Since{
		ago: quantity(b, raw, ParseDuration),
	}
}

func newColumn(raw *rawColumn) Column {
	return Column{
		name: raw.Name,
		pos:  positionOf(raw.Pos),
	}
}

func (b *builder) or(raw *rawOr) Expr {
	var terms []Expr
	for _, term := range raw.Terms {
		terms = append(terms, b.and(term))
	}
	return newOr(terms)
}

// newOr joins terms, and takes those of an Or among them for its own.
func newOr(terms []Expr) Expr {
	var flat []Expr
	for _, term := range terms {
		if or, ok := term.(Or); ok {
			flat = append(flat, or.terms...)
			continue
		}
		flat = append(flat, term)
	}
	if len(flat) == 1 {
		return flat[0]
	}
	return Or{
		terms: flat,
	}
}

func (b *builder) and(raw *rawAnd) Expr {
	var terms []Expr
	for _, term := range raw.Terms {
		terms = append(terms, b.term(term))
	}
	return newAnd(terms)
}

// newAnd joins terms, and takes those of an And among them for its own.
func newAnd(terms []Expr) Expr {
	var flat []Expr
	for _, term := range terms {
		if and, ok := term.(And); ok {
			flat = append(flat, and.terms...)
			continue
		}
		flat = append(flat, term)
	}
	if len(flat) == 1 {
		return flat[0]
	}
	return And{
		terms: flat,
	}
}

func (b *builder) term(raw *rawTerm) Expr {
	var expr Expr
	if raw.Group != nil {
		expr = b.or(raw.Group)
	} else {
		expr = b.comparison(raw.Comparison)
	}
	for range raw.Nots {
		expr = Not{
			term: expr,
		}
	}
	return expr
}

func (b *builder) comparison(raw *rawComparison) Expr {
	column := newColumn(raw.Column)
	if raw.Sign != "" {
		return Comparison{
			column: column,
			sign:   Sign(raw.Sign),
			value:  b.value(raw.Value),
		}
	}
	var values []Value
	for _, value := range raw.In {
		values = append(values, b.value(value))
	}
	return In{
		column: column,
		values: values,
	}
}

func (b *builder) value(raw *rawValue) Value {
	if raw.Number != nil {
		return Quantity{
			literal: raw.Number.Text,
			pos:     positionOf(raw.Number.Pos),
		}
	}
	return Text{
		text: b.unquote(raw.Text.Pos, raw.Text.Text),
		pos:  positionOf(raw.Text.Pos),
	}
}

func (b *builder) why(raw *rawText) Why {
	text := b.text(raw)
	slash := strings.LastIndex(text, "/")
	index, err := strconv.Atoi(text[slash+1:])
	if slash < 1 || err != nil || index < 0 || strconv.Itoa(index) != text[slash+1:] {
		b.fault(raw.Pos, fmt.Sprintf("unexpected %q", text), "a task, such as JOB/0")
	}
	return Why{
		task: namer.TaskID{
			Job:   text[:max(slash, 0)],
			Index: index,
		},
	}
}

// once faults what is given a second time.
type once struct {
	builder *builder
	seen    map[string]bool
}

func (b *builder) once() once {
	return once{
		builder: b,
		seen:    make(map[string]bool),
	}
}

func (o once) give(pos lexer.Position, name string) {
	if o.seen[name] {
		o.builder.fault(pos, name+" is given twice")
	}
	o.seen[name] = true
}

// terms reads the terms of a command. Only a change of the configuration has a
// base.
func (b *builder) terms(raws []*rawTerms, hasBase bool) Terms {
	var terms Terms
	once := b.once()
	for _, raw := range raws {
		b.term1(&terms, raw, once, hasBase)
	}
	return terms
}

func (b *builder) term1(terms *Terms, raw *rawTerms, once once, hasBase bool) {
	switch {
	case raw.Base != nil:
		once.give(raw.Pos, "base")
		if !hasBase {
			b.fault(raw.Pos, "only set and unset have a base")
		}
		terms.base = b.offset(raw.Base)
	case raw.As != nil:
		once.give(raw.Pos, "as")
		terms.identity = b.text(raw.As)
	default:
		once.give(raw.Pos, "dry run")
		terms.dryRun = true
	}
}

// amounts is a size that is being read.
type amounts struct {
	milliCores   int64
	bytes        int64
	accelerators int64
}

func (a amounts) size() sizer.Size {
	return sizer.New(a.milliCores, a.bytes, a.accelerators)
}

func (b *builder) amount(sum *amounts, raw *rawAmount, once once) {
	switch {
	case raw.CPU != nil:
		once.give(raw.Pos, "cpu")
		sum.milliCores = quantity(b, raw.CPU, ParseCores)
	case raw.Memory != nil:
		once.give(raw.Pos, "memory")
		sum.bytes = quantity(b, raw.Memory, ParseBytes)
	default:
		once.give(raw.Pos, "accelerators")
		sum.accelerators = quantity(b, raw.Accelerators, ParseCount)
	}
}

func (b *builder) submit(raw *rawSubmit) Submit {
	submit := Submit{
		policy: recorder.JobKind(raw.Kind),
		name:   b.text(raw.Name),
		tasks:  1,
	}
	var size amounts
	once := b.once()
	for _, option := range raw.Options {
		b.submitOption(&submit, &size, option, once)
	}
	submit.size = size.size()
	if submit.team == "" {
		b.fault(raw.Name.Pos, "the job has no team")
	}
	if submit.size.IsZero() {
		b.fault(raw.Name.Pos, "the job has neither cpu, memory nor accelerators")
	}
	return submit
}

func (b *builder) submitOption(submit *Submit, size *amounts, raw *rawOption, once once) {
	switch {
	case raw.Amount != nil:
		b.amount(size, raw.Amount, once)
	case raw.Command != nil:
		b.term1(&submit.terms, raw.Command, once, false)
	case raw.Team != nil:
		once.give(raw.Pos, "team")
		submit.team = b.text(raw.Team)
	case raw.Tasks != nil:
		once.give(raw.Pos, "tasks")
		submit.tasks = b.count(raw.Tasks, 1)
	case raw.For != nil:
		once.give(raw.Pos, "for")
		if submit.policy == recorder.Service {
			b.fault(raw.Pos, "a service runs until it is stopped")
		}
		submit.runTime = quantity(b, raw.For, ParseDuration)
	case raw.At != nil:
		once.give(raw.Pos, "at")
		submit.dataCentre = b.text(raw.At)
	default:
		once.give(raw.Pos, "urgent")
		submit.urgent = true
	}
}

func (b *builder) set(raw *rawSet) Set {
	set := Set{
		terms: b.terms(raw.Terms, true),
	}
	switch {
	case raw.Team != nil:
		set.setting = b.team(raw.Team)
	case raw.Service != nil:
		set.setting = b.service(raw.Service)
	default:
		set.setting = b.entry(raw.Entry)
	}
	return set
}

func (b *builder) team(raw *rawTeam) TeamSetting {
	team := TeamSetting{
		name: b.text(raw.Name),
	}
	once := b.once()
	for _, option := range raw.Options {
		switch {
		case option.Weight != nil:
			once.give(option.Pos, "weight")
			team.weight = b.positive(option.Weight)
		case option.Shares != nil:
			once.give(option.Pos, "shares")
			team.shares = b.positive(option.Shares)
		default:
			once.give(option.Pos, "quota")
			team.hasQuota = true
			team.quota = b.quota(option.Quota)
		}
	}
	return team
}

func (b *builder) positive(raw *rawNumber) *float64 {
	n := quantity(b, raw, ParseNumber)
	if n <= 0 {
		b.fault(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), "a number above 0")
	}
	return &n
}

func (b *builder) quota(raw *rawQuota) sizer.Size {
	var size amounts
	once := b.once()
	for _, amount := range raw.Amounts {
		b.amount(&size, amount, once)
	}
	return size.size()
}

func (b *builder) service(raw *rawService) ServiceSetting {
	service := ServiceSetting{
		name: b.text(raw.Name),
	}
	once := b.once()
	for _, option := range raw.Options {
		switch {
		case option.Team != nil:
			once.give(option.Pos, "team")
			service.team = pointer(b.text(option.Team))
		case option.Queue != nil:
			once.give(option.Pos, "queue")
			service.queue = pointer(b.count(option.Queue, 0))
		case option.Deadline != nil:
			once.give(option.Pos, "deadline")
			service.deadline = b.duration(option.Deadline)
		default:
			once.give(option.Pos, "attempt")
			service.attempt = b.duration(option.Attempt)
		}
	}
	return service
}

func (b *builder) duration(raw *rawNumber) *time.Duration {
	return pointer(quantity(b, raw, ParseDuration))
}

func pointer[V any](value V) *V { return &value }

func (b *builder) entry(raw *rawEntry) EntrySetting {
	entry := EntrySetting{
		key: b.unquote(raw.Pos, raw.Key),
	}
	if entry.key == "" {
		b.fault(raw.Pos, "the key is empty")
	}
	var text strings.Builder
	for _, token := range raw.Value.Tokens {
		if !strings.HasPrefix(token.Value, "#") {
			text.WriteString(token.Value)
		}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(text.String())); err != nil {
		b.fault(raw.Value.Pos, "the value is not JSON: "+err.Error())
	}
	entry.value = compact.Bytes()
	return entry
}

func (b *builder) unset(raw *rawUnset) Unset {
	unset := Unset{
		terms: b.terms(raw.Terms, true),
	}
	switch {
	case raw.Team != nil:
		unset.key = teamKey(b.text(raw.Team))
	case raw.Service != nil:
		unset.key = serviceKey(b.text(raw.Service))
	default:
		unset.key = b.unquote(raw.Pos, raw.Key)
		if unset.key == "" {
			b.fault(raw.Pos, "the key is empty")
		}
	}
	return unset
}
