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

// maxCount is the greatest value of a whole number, such as a number of tasks,
// a row limit or a queue length.
const maxCount = 1 << 31

// builder turns the grammar's raw nodes into the tree, and makes the checks
// that a grammar cannot express. It continues after an error, and keeps only
// the first one.
type builder struct {
	err *Error
}

func (b *builder) addError(pos lexer.Position, message string, expected ...string) {
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
			job:            b.nameText(raw.Stop.Job),
			commandOptions: b.commandOptions(raw.Stop.Terms, false),
		}
	case raw.Drain != nil:
		return Drain{
			kind:           HostKind(raw.Drain.Kind),
			name:           b.nameText(raw.Drain.Name),
			commandOptions: b.commandOptions(raw.Drain.Terms, false),
		}
	case raw.Resume != nil:
		return Resume{
			kind:           HostKind(raw.Resume.Kind),
			name:           b.nameText(raw.Resume.Name),
			commandOptions: b.commandOptions(raw.Resume.Terms, false),
		}
	case raw.Set != nil:
		return b.set(raw.Set)
	default:
		return b.unset(raw.Unset)
	}
}

// nameText returns the text of a name. An empty name is an error.
func (b *builder) nameText(raw *rawText) string {
	nameText := b.unquote(raw.Pos, raw.Text)
	if nameText == "" {
		b.addError(raw.Pos, "the name is empty")
	}
	return nameText
}

// unquote returns the text of a quoted string, or a bare name unchanged.
func (b *builder) unquote(pos lexer.Position, token string) string {
	if !strings.HasPrefix(token, `"`) {
		return token
	}
	var text string
	if err := json.Unmarshal([]byte(token), &text); err != nil {
		b.addError(pos, "the string is not quoted as in JSON")
	}
	return text
}

// parseQuantity parses a number with the given function, and adds the error if
// the number is malformed or has the wrong unit.
func parseQuantity[Q any](b *builder, raw *rawNumber, parse func(string) (Q, error)) Q {
	value, err := parse(raw.Text)
	var unitErr *UnitError
	if errors.As(err, &unitErr) {
		b.addError(raw.Pos, fmt.Sprintf("unexpected %q", unitErr.text), unitErr.want)
	}
	return value
}

// wholeNumber parses a whole number from minimum to maxCount.
func (b *builder) wholeNumber(raw *rawNumber, minimum int) int {
	n := parseQuantity(b, raw, ParseCount)
	if n < int64(minimum) || n > maxCount {
		b.addError(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), fmt.Sprintf("a whole number from %d to %d", minimum, maxCount))
	}
	return int(n)
}

func (b *builder) offset(raw *rawNumber) namer.Offset {
	n := parseQuantity(b, raw, ParseCount)
	if n < 1 {
		b.addError(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), "an offset from 1")
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
		show.limit = b.wholeNumber(raw.Limit, 1)
	}
	return show
}

// since parses an offset, or a duration before now, which has a unit.
func (b *builder) since(raw *rawNumber) Since {
	if _, err := strconv.ParseUint(raw.Text, 10, 64); err == nil {
		return Since{
			offset: b.offset(raw),
		}
	}
	return Since{
		ago: parseQuantity(b, raw, ParseDuration),
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

// newOr returns the disjunction of the terms. It flattens nested Ors, and
// returns a single term as it is.
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

// newAnd returns the conjunction of the terms. It flattens nested Ands, and
// returns a single term as it is.
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
	nameText := b.nameText(raw)
	slash := strings.LastIndex(nameText, "/")
	index, err := strconv.Atoi(nameText[slash+1:])
	if slash < 1 || err != nil || index < 0 || strconv.Itoa(index) != nameText[slash+1:] {
		b.addError(raw.Pos, fmt.Sprintf("unexpected %q", nameText), "a task, such as JOB/0")
	}
	return Why{
		task: namer.TaskID{
			Job:   nameText[:max(slash, 0)],
			Index: index,
		},
	}
}

// givenOptions collects the names of the options that a statement gives. Adding
// a name a second time is an error.
type givenOptions struct {
	builder *builder
	seen    map[string]bool
}

func (b *builder) givenOptions() givenOptions {
	return givenOptions{
		builder: b,
		seen:    make(map[string]bool),
	}
}

func (g givenOptions) add(pos lexer.Position, name string) {
	if g.seen[name] {
		g.builder.addError(pos, name+" is given twice")
	}
	g.seen[name] = true
}

// commandOptions builds the options that every command may have. Only set and
// unset, which change the configuration, may have a base.
func (b *builder) commandOptions(raws []*rawTerms, baseAllowed bool) CommandOptions {
	var options CommandOptions
	givenOptions := b.givenOptions()
	for _, raw := range raws {
		b.addCommandOption(&options, raw, givenOptions, baseAllowed)
	}
	return options
}

func (b *builder) addCommandOption(options *CommandOptions, raw *rawTerms, givenOptions givenOptions, baseAllowed bool) {
	switch {
	case raw.Base != nil:
		givenOptions.add(raw.Pos, "base")
		if !baseAllowed {
			b.addError(raw.Pos, "only set and unset have a base")
		}
		options.base = b.offset(raw.Base)
	case raw.As != nil:
		givenOptions.add(raw.Pos, "as")
		options.identity = b.nameText(raw.As)
	default:
		givenOptions.add(raw.Pos, "dry run")
		options.dryRun = true
	}
}

// sizeAmounts collects the amounts of a size.
type sizeAmounts struct {
	milliCores   int64
	bytes        int64
	accelerators int64
}

func (a sizeAmounts) size() sizer.Size {
	return sizer.New(a.milliCores, a.bytes, a.accelerators)
}

func (b *builder) addAmount(size *sizeAmounts, raw *rawAmount, givenOptions givenOptions) {
	switch {
	case raw.CPU != nil:
		givenOptions.add(raw.Pos, "cpu")
		size.milliCores = parseQuantity(b, raw.CPU, ParseCores)
	case raw.Memory != nil:
		givenOptions.add(raw.Pos, "memory")
		size.bytes = parseQuantity(b, raw.Memory, ParseBytes)
	default:
		givenOptions.add(raw.Pos, "accelerators")
		size.accelerators = parseQuantity(b, raw.Accelerators, ParseCount)
	}
}

func (b *builder) submit(raw *rawSubmit) Submit {
	submit := Submit{
		jobKind: recorder.JobKind(raw.Kind),
		name:    b.nameText(raw.Name),
		tasks:   1,
	}
	var size sizeAmounts
	givenOptions := b.givenOptions()
	for _, option := range raw.Options {
		b.addSubmitOption(&submit, &size, option, givenOptions)
	}
	submit.size = size.size()
	if submit.team == "" {
		b.addError(raw.Name.Pos, "the job has no team")
	}
	if submit.size.IsZero() {
		b.addError(raw.Name.Pos, "the job has neither cpu, memory nor accelerators")
	}
	return submit
}

func (b *builder) addSubmitOption(submit *Submit, size *sizeAmounts, raw *rawOption, givenOptions givenOptions) {
	switch {
	case raw.Amount != nil:
		b.addAmount(size, raw.Amount, givenOptions)
	case raw.Command != nil:
		b.addCommandOption(&submit.commandOptions, raw.Command, givenOptions, false)
	case raw.Team != nil:
		givenOptions.add(raw.Pos, "team")
		submit.team = b.nameText(raw.Team)
	case raw.Tasks != nil:
		givenOptions.add(raw.Pos, "tasks")
		submit.tasks = b.wholeNumber(raw.Tasks, 1)
	case raw.For != nil:
		givenOptions.add(raw.Pos, "for")
		if submit.jobKind == recorder.Service {
			b.addError(raw.Pos, "a service runs until it is stopped")
		}
		submit.runTime = parseQuantity(b, raw.For, ParseDuration)
	case raw.At != nil:
		givenOptions.add(raw.Pos, "at")
		submit.dataCentre = b.nameText(raw.At)
	default:
		givenOptions.add(raw.Pos, "urgent")
		submit.urgent = true
	}
}

func (b *builder) set(raw *rawSet) Set {
	set := Set{
		commandOptions: b.commandOptions(raw.Terms, true),
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
		name: b.nameText(raw.Name),
	}
	givenOptions := b.givenOptions()
	for _, option := range raw.Options {
		switch {
		case option.Weight != nil:
			givenOptions.add(option.Pos, "weight")
			team.weight = b.positiveNumber(option.Weight)
		case option.Shares != nil:
			givenOptions.add(option.Pos, "shares")
			team.shares = b.positiveNumber(option.Shares)
		default:
			givenOptions.add(option.Pos, "quota")
			team.hasQuota = true
			team.quota = b.quota(option.Quota)
		}
	}
	return team
}

func (b *builder) positiveNumber(raw *rawNumber) *float64 {
	n := parseQuantity(b, raw, ParseNumber)
	if n <= 0 {
		b.addError(raw.Pos, fmt.Sprintf("unexpected %q", raw.Text), "a number above 0")
	}
	return &n
}

func (b *builder) quota(raw *rawQuota) sizer.Size {
	var size sizeAmounts
	givenOptions := b.givenOptions()
	for _, amount := range raw.Amounts {
		b.addAmount(&size, amount, givenOptions)
	}
	return size.size()
}

func (b *builder) service(raw *rawService) ServiceSetting {
	service := ServiceSetting{
		name: b.nameText(raw.Name),
	}
	givenOptions := b.givenOptions()
	for _, option := range raw.Options {
		switch {
		case option.Team != nil:
			givenOptions.add(option.Pos, "team")
			service.team = ptr(b.nameText(option.Team))
		case option.Queue != nil:
			givenOptions.add(option.Pos, "queue")
			service.queue = ptr(b.wholeNumber(option.Queue, 0))
		case option.Deadline != nil:
			givenOptions.add(option.Pos, "deadline")
			service.deadline = b.duration(option.Deadline)
		default:
			givenOptions.add(option.Pos, "attempt")
			service.attempt = b.duration(option.Attempt)
		}
	}
	return service
}

func (b *builder) duration(raw *rawNumber) *time.Duration {
	return ptr(parseQuantity(b, raw, ParseDuration))
}

func ptr[V any](value V) *V { return &value }

func (b *builder) entry(raw *rawEntry) EntrySetting {
	entry := EntrySetting{
		key: b.unquote(raw.Pos, raw.Key),
	}
	if entry.key == "" {
		b.addError(raw.Pos, "the key is empty")
	}
	var text strings.Builder
	for _, token := range raw.Value.Tokens {
		if !strings.HasPrefix(token.Value, "#") {
			text.WriteString(token.Value)
		}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(text.String())); err != nil {
		b.addError(raw.Value.Pos, "the value is not JSON: "+err.Error())
	}
	entry.value = compact.Bytes()
	return entry
}

func (b *builder) unset(raw *rawUnset) Unset {
	unset := Unset{
		commandOptions: b.commandOptions(raw.Terms, true),
	}
	switch {
	case raw.Team != nil:
		unset.key = teamKey(b.nameText(raw.Team))
	case raw.Service != nil:
		unset.key = serviceKey(b.nameText(raw.Service))
	default:
		unset.key = b.unquote(raw.Pos, raw.Key)
		if unset.key == "" {
			b.addError(raw.Pos, "the key is empty")
		}
	}
	return unset
}
