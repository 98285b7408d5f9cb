package parser

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/sizer"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Each line has a statement, in which \n stands for a line feed, and its error.
const badStatements = `
	                                | 1:1: the statement ends too early, expected drain, resume, set, show, stop, submit, unset or why
	list tasks                      | 1:1: unexpected "list", expected drain, resume, set, show, stop, submit, unset or why
	show                            | 1:5: the statement ends too early, expected audit, config, jobs, members, minions, offsets, services, tasks, teams or workers
	show task                       | 1:6: unexpected "task", expected audit, config, jobs, members, minions, offsets, services, tasks, teams or workers
	show tasks wher x               | 1:12: unexpected "wher", expected ;, count, limit, order, where or the end
	show tasks where                | 1:17: the statement ends too early, expected a name or (
	show tasks where team           | 1:22: the statement ends too early, expected !=, <, <=, =, >, >=, in or ~
	show tasks\nwhere x ? 3         | 2:9: unexpected "?", expected !=, <, <=, =, >, >=, in or ~
	show tasks where a = "x         | 1:22: unexpected "\"x", expected a name, a string or a number
	show tasks where a = "\q"       | 1:22: the string is not quoted as in JSON
	show tasks where (a = 1         | 1:24: the statement ends too early, expected ), and or or
	show tasks where a in (1 2)     | 1:26: unexpected "2)", expected ) or ,
	show tasks count team           | 1:18: unexpected "team", expected by
	show tasks order by a down      | 1:23: unexpected "down", expected ,, ;, asc, desc, limit or the end
	show tasks limit 0              | 1:18: unexpected "0", expected a whole number from 1 to 2147483648
	show tasks limit 20 order by a  | 1:21: unexpected "order", expected ; or the end
	show jobs at 3                  | 1:11: unexpected "at", expected ;, count, limit, order, where or the end
	show config at 0                | 1:16: unexpected "0", expected an offset from 1
	show audit since yesterday      | 1:18: unexpected "yesterday", expected a number
	show audit since 5x             | 1:18: unexpected "5x", expected a time above 0, such as 30s or 1h30m
	why job x                       | 1:5: unexpected "job", expected task
	why task "abc"                  | 1:10: unexpected "abc", expected a task, such as JOB/0
	why task "abc/01"               | 1:10: unexpected "abc/01", expected a task, such as JOB/0
	submit task x                   | 1:8: unexpected "task", expected batch, gang or service
	submit batch ""                 | 1:14: the name is empty
	submit batch x cpu 1            | 1:14: the job has no team
	submit batch x team omuti       | 1:14: the job has neither cpu, memory nor accelerators
	submit batch x team omuti cpu   | 1:30: the statement ends too early, expected a number
	submit batch x team omuti cpu 5x | 1:31: unexpected "5x", expected an amount of cores, such as 4, 0.5 or 500m
	submit batch x team omuti cpu 0.0005 | 1:31: unexpected "0.0005", expected an amount of cores, such as 4, 0.5 or 500m
	submit batch x team omuti memory 512MB | 1:34: unexpected "512MB", expected an amount of memory, such as 512MiB or 2GiB
	submit batch x team omuti accelerators 0.5 | 1:40: unexpected "0.5", expected a whole number
	submit batch x team omuti cpu 1 cpu 2 | 1:33: cpu is given twice
	submit batch x team omuti cpu 1 tasks 0 | 1:39: unexpected "0", expected a whole number from 1 to 2147483648
	submit batch x team omuti cpu 1 for 30 | 1:37: unexpected "30", expected a time above 0, such as 30s or 1h30m
	submit service x team omuti cpu 1 for 3s | 1:35: a service runs until it is stopped
	submit batch x team omuti cpu 1 dry | 1:36: the statement ends too early, expected run
	stop job 0199                   | 1:10: unexpected "0199", expected a name or a string
	stop job x base 3               | 1:12: only set and unset have a base
	drain rack r1                   | 1:7: unexpected "rack", expected minion or worker
	set team omuti                  | 1:15: the statement ends too early, expected quota, shares or weight
	set team omuti weight 0         | 1:23: unexpected "0", expected a number above 0
	set team omuti quota weight 1   | 1:22: unexpected "weight", expected accelerators, cpu, memory or none
	set service x hedged on         | 1:15: unexpected "hedged", expected attempt, deadline, queue or team
	set "a" 3                       | 1:9: unexpected "3", expected =
	set "a" = {                     | 1:12: the statement ends too early, expected a string or }
	set "a" = {"b": 5m}             | 1:11: the value is not JSON: invalid character 'm' after object key:value pair
	set "" = 1                      | 1:5: the key is empty
	unset omuti                     | 1:7: unexpected "omuti", expected a string, service or team
	show jobs; show jobs            | 1:1: more than one statement
	show jobs; shw jobs             | 1:12: unexpected "shw", expected ;, drain, resume, set, show, stop, submit, unset, why or the end
`

func TestBadStatements(t *testing.T) {
	for line := range strings.Lines(strings.Trim(badStatements, "\n")) {
		text, want, _ := strings.Cut(line, " | ")
		text = strings.ReplaceAll(strings.TrimSpace(text), `\n`, "\n")
		t.Run(text, func(t *testing.T) {
			_, err := Parse(text)
			qt.Check(t, fmt.Sprint(err), qt.Equals, strings.TrimSpace(want))
			var fault *Error
			qt.Check(t, errors.As(err, &fault), qt.IsTrue)
		})
	}
}

func TestTextLimits(t *testing.T) {
	deep := "show tasks where " + strings.Repeat("(", 1000) + "a = 1"
	for _, text := range []string{deep, strings.Repeat("show jobs;", MaxText)} {
		_, err := Parse(text)
		qt.Check(t, err, qt.ErrorMatches, `1:\d+: (brackets are nested too deep|the text is too long)`)
	}
}

func TestCanonicalText(t *testing.T) {
	const table = `
		show tasks where team = "omuti" and state = pending order by submitted desc limit 20 | show tasks where team = omuti and state = pending order by submitted desc limit 20
		show tasks where (a=1 or (b=2 or c=3)) and not (d in ("x",y)) | show tasks where (a = 1 or b = 2 or c = 3) and not d in (x, y)
		show audit since 90m where who ~ "not" | show audit since 1h30m0s where who ~ "not"
		submit gang train dry run team omuti accelerators 8 memory 1024MiB cpu 0.5 | submit gang "train" team omuti tasks 1 cpu 500m memory 1GiB accelerators 8 dry run
		set "limits" = { "a" : [ 1, 2.50 ] } # as it was | set "limits" = {"a":[1,2.50]}
		set team omuti quota none | set team omuti quota none
		unset team omuti base 7 | unset "team/omuti" base 7
	`
	for line := range strings.Lines(strings.TrimSpace(table)) {
		text, want, _ := strings.Cut(strings.TrimSpace(line), " | ")
		statement, err := Parse(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, Print(statement), qt.Equals, want)
	}
}

// TestKeywords checks that the keywords and punctuation which errors name are
// those of the grammar.
func TestKeywords(t *testing.T) {
	var words []string
	for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(grammar.String(), -1) {
		words = append(words, match[1])
	}
	slices.Sort(words)
	qt.Check(t, fixedTokens(), qt.DeepEquals, slices.Compact(words))
}

// sameStatement are the options to compare statements without the positions of
// columns and values.
var sameStatement = []cmp.Option{
	cmp.Exporter(func(reflect.Type) bool { return true }),
	cmpopts.IgnoreTypes(Position{}),
}

// roundTripDiff returns how a statement differs after it was printed and parsed
// again.
func roundTripDiff(s Statement, print func(Statement) string) string {
	got, err := Parse(print(s))
	if err != nil {
		return err.Error()
	}
	return cmp.Diff(s, got, sameStatement...)
}

func TestParsePrintIsIdentity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := statementGen.Draw(t, "statement")
		if diff := roundTripDiff(s, Print); diff != "" {
			t.Fatalf("%s\n%s", Print(s), diff)
		}
	})
}

func TestWithIdentity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		command, ok := statementGen.Draw(t, "statement").(Command)
		if !ok {
			return
		}
		got := WithIdentity(command, "new")
		want := command.CommandOptions()
		if want.identity == "" {
			want.identity = "new"
		}
		if got.CommandOptions() != want || roundTripDiff(got, Print) != "" {
			t.Fatalf("%s became %s", Print(command), Print(got))
		}
	})
}

func TestRoundTripFindsBadPrinters(t *testing.T) {
	printers := map[string]func(Statement) string{
		"loses brackets": func(s Statement) string { return strings.NewReplacer("(", "", ")", "").Replace(Print(s)) },
		"loses quotes":   func(s Statement) string { return strings.ReplaceAll(Print(s), `"`, "") },
		"other units":    func(s Statement) string { return strings.ReplaceAll(Print(s), "GiB", "MiB") },
	}
	for name, print := range printers {
		t.Run(name, func(t *testing.T) {
			// The number of examples does not shrink with -short, since one of
			// them has to fail.
			for seed := range 1000 {
				if roundTripDiff(statementGen.Example(seed), print) != "" {
					return
				}
			}
			t.Error("not found")
		})
	}
}

// Generators of statements.
var (
	textGen   = rapid.OneOf(rapid.StringMatching(namePattern), rapid.SampledFrom(keywords), rapid.StringN(1, 8, -1))
	sizeGen   = rapid.Custom(drawSize)
	columnGen = rapid.Custom(func(t *rapid.T) Column {
		return Column{
			name: rapid.OneOf(rapid.StringMatching(`[a-z][A-Za-z]*`), rapid.Just("limit")).Filter(func(s string) bool { return s != "not" }).Draw(t, "column"),
		}
	})
	literalGen   = rapid.SampledFrom([]string{"0", "-3", "2.5", "1e9", "500m", "1h30m", "512MiB"})
	valueGen     = rapid.OneOf(rapid.Map(textGen, newText), rapid.Map(literalGen, newQuantity))
	durationGen  = rapid.Map(rapid.Int64Range(1, int64(1000*time.Hour)), func(n int64) time.Duration { return time.Duration(n) })
	statementGen = rapid.Custom(drawStatement)
)

func newText(text string) Value {
	return Text{
		text: text,
	}
}

func newQuantity(literal string) Value {
	return Quantity{
		literal: literal,
	}
}

func drawSince(t *rapid.T) Since {
	var since Since
	switch rapid.IntRange(0, 2).Draw(t, "since") {
	case 0:
		since.offset = 9
	case 1:
		since.ago = time.Hour
	}
	return since
}

func drawSize(t *rapid.T) sizer.Size {
	memory := rapid.Int64Range(0, 1<<20).Draw(t, "memory") << rapid.SampledFrom([]int{0, 10, 20, 30, 40}).Draw(t, "unit")
	return sizer.New(rapid.Int64Range(1, 1e6).Draw(t, "cpu"), memory, rapid.Int64Range(0, 8).Draw(t, "accelerators"))
}

func drawExpr(t *rapid.T, depth int) Expr {
	kind := rapid.IntRange(0, 4).Draw(t, "expr")
	if depth == 0 {
		kind %= 2
	}
	switch kind {
	case 0:
		return Comparison{
			column: columnGen.Draw(t, "column"),
			sign:   rapid.SampledFrom([]Sign{Equal, NotEqual, Less, LessEqual, Greater, GreaterEqual, Contains}).Draw(t, "sign"),
			value:  valueGen.Draw(t, "value"),
		}
	case 1:
		return In{
			column: columnGen.Draw(t, "column"),
			values: rapid.SliceOfN(valueGen, 1, 3).Draw(t, "values"),
		}
	case 2:
		return Not{
			term: drawExpr(t, depth-1),
		}
	case 3:
		return newAnd([]Expr{drawExpr(t, depth-1), drawExpr(t, depth-1)})
	default:
		return newOr([]Expr{drawExpr(t, depth-1), drawExpr(t, depth-1)})
	}
}

func drawCommandOptions(t *rapid.T, baseAllowed bool) CommandOptions {
	options := CommandOptions{
		identity: rapid.OneOf(rapid.Just(""), textGen).Draw(t, "identity"),
		dryRun:   rapid.Bool().Draw(t, "dryRun"),
	}
	if baseAllowed {
		options.base = namer.Offset(rapid.Uint64Range(0, 1<<40).Draw(t, "base"))
	}
	return options
}

func drawShow(t *rapid.T) Show {
	show := Show{
		table:   rapid.SampledFrom([]Table{Tasks, Workers, Minions, Jobs, Teams, Config, Audit, Members, Services, Offsets}).Draw(t, "table"),
		countBy: rapid.SliceOfN(columnGen, 0, 2).Draw(t, "countBy"),
		limit:   rapid.IntRange(0, 100).Draw(t, "limit"),
	}
	if len(show.countBy) == 0 {
		show.countBy = nil
	}
	if show.table == Config {
		show.at = namer.Offset(rapid.Uint64Range(0, 100).Draw(t, "at"))
	}
	if show.table == Audit {
		show.since = drawSince(t)
	}
	if rapid.Bool().Draw(t, "hasWhere") {
		show.where = drawExpr(t, 3)
	}
	for range rapid.IntRange(0, 2).Draw(t, "orders") {
		show.orderBy = append(show.orderBy, Order{
			column:     columnGen.Draw(t, "order"),
			descending: rapid.Bool().Draw(t, "descending"),
		})
	}
	return show
}

func drawSubmit(t *rapid.T) Submit {
	submit := Submit{
		jobKind:        rapid.SampledFrom([]recorder.JobKind{recorder.Service, recorder.Batch, recorder.Gang}).Draw(t, "policy"),
		name:           textGen.Draw(t, "name"),
		team:           textGen.Draw(t, "team"),
		tasks:          rapid.IntRange(1, 10_000).Draw(t, "tasks"),
		size:           sizeGen.Draw(t, "size"),
		urgent:         rapid.Bool().Draw(t, "urgent"),
		dataCentre:     rapid.OneOf(rapid.Just(""), textGen).Draw(t, "dataCentre"),
		commandOptions: drawCommandOptions(t, false),
	}
	if submit.jobKind != recorder.Service {
		submit.runTime = rapid.OneOf(rapid.Just(time.Duration(0)), durationGen).Draw(t, "runTime")
	}
	return submit
}

func drawSetting(t *rapid.T) Setting {
	sharesGen := rapid.Ptr(rapid.Float64Range(1e-9, 1e9), true)
	switch rapid.IntRange(0, 2).Draw(t, "setting") {
	case 0:
		return TeamSetting{
			name:     textGen.Draw(t, "name"),
			weight:   ptr(rapid.Float64Range(1e-9, 1e9).Draw(t, "weight")),
			shares:   sharesGen.Draw(t, "shares"),
			hasQuota: true,
			quota:    rapid.OneOf(rapid.Just(sizer.Size{}), sizeGen).Draw(t, "quota"),
		}
	case 1:
		return ServiceSetting{
			name:     textGen.Draw(t, "name"),
			team:     ptr(textGen.Draw(t, "team")),
			queue:    rapid.Ptr(rapid.IntRange(0, 1000), true).Draw(t, "queue"),
			deadline: rapid.Ptr(durationGen, true).Draw(t, "deadline"),
			attempt:  rapid.Ptr(durationGen, true).Draw(t, "attempt"),
		}
	default:
		return EntrySetting{
			key:   textGen.Draw(t, "key"),
			value: json.RawMessage(rapid.SampledFrom([]string{`null`, `-1.5e3`, `"a b # c"`, `{"a":[],"b":{"c":"\n"}}`}).Draw(t, "value")),
		}
	}
}

func drawStatement(t *rapid.T) Statement {
	kind := rapid.SampledFrom([]HostKind{Worker, Minion}).Draw(t, "kind")
	name := textGen.Draw(t, "name")
	switch rapid.IntRange(0, 9).Draw(t, "statement") {
	case 0:
		return Why{
			task: namer.TaskID{
				Job:   name,
				Index: rapid.IntRange(0, 9999).Draw(t, "index"),
			},
		}
	case 1:
		return Stop{
			job:            name,
			commandOptions: drawCommandOptions(t, false),
		}
	case 2:
		return Drain{
			kind:           kind,
			name:           name,
			commandOptions: drawCommandOptions(t, false),
		}
	case 3:
		return Resume{
			kind:           kind,
			name:           name,
			commandOptions: drawCommandOptions(t, false),
		}
	case 4:
		return Unset{
			key:            name,
			commandOptions: drawCommandOptions(t, true),
		}
	case 5, 6:
		return Set{
			setting:        drawSetting(t),
			commandOptions: drawCommandOptions(t, true),
		}
	case 7:
		return drawSubmit(t)
	default:
		return drawShow(t)
	}
}

// TestSettingsPassTheRule checks the values that settings produce against the
// replayer's rule for accepting a change.
func TestSettingsPassTheRule(t *testing.T) {
	const table = `
		set team omuti weight 2                           | {"weight":1,"quota":{"milliCores":5,"bytes":0}} | {"quota":{"milliCores":5,"bytes":0},"weight":2}
		set team omuti quota cpu 1                        |                                                 | {"quota":{"milliCores":1000,"bytes":0},"weight":1}
		set team omuti shares 3                           | null                                            | {"shares":3}
		set service field-desk team omuti                 |                                                 | {"team":"omuti"}
		set service field-desk queue 9 deadline 2s attempt 1s | {"team":"omuti"}                  | {"attemptTimeout":"1s","deadline":"2s","queueLimit":9,"team":"omuti"}
		set "other" = {"a": 1}                            | {"b":2}                                         | {"a":1}
	`
	for line := range strings.Lines(strings.TrimSpace(table)) {
		cells := strings.Split(line, " | ")
		c := qt.New(t)
		statement, err := Parse(strings.TrimSpace(cells[0]))
		c.Assert(err, qt.IsNil)
		setting := statement.(Set).Setting()
		value, err := setting.Apply(json.RawMessage(strings.TrimSpace(cells[1])))
		c.Assert(err, qt.IsNil)
		c.Check(string(value), qt.Equals, strings.TrimSpace(cells[2]))
		if strings.Contains(cells[2], "weight") || strings.Contains(cells[2], "team") {
			c.Check(replayer.CheckSetting(setting.Key(), value), qt.IsNil)
		}
	}
	_, err := TeamSetting{}.Apply(json.RawMessage(`[1]`))
	qt.Check(t, errors.Is(err, ErrValue), qt.IsTrue)
}

func FuzzParse(f *testing.F) {
	for line := range strings.Lines(badStatements) {
		text, _, _ := strings.Cut(line, " | ")
		f.Add(strings.TrimSpace(text))
	}
	f.Add(`show tasks where not (a = 1 or b in (x, "y")) count by a order by count desc limit 3`)
	f.Add(`submit batch "a" team b tasks 2 cpu 500m memory 1GiB for 3s urgent at c as "d" dry run`)
	f.Add(`set "a" = {"b": [1, -2.5e3, null, true, "c"]} base 7; unset team x`)
	f.Fuzz(func(t *testing.T, text string) {
		statements, err := ParseAll(text)
		if err != nil {
			var fault *Error
			qt.Assert(t, errors.As(err, &fault), qt.IsTrue)
			qt.Check(t, fault.Pos().Line() <= strings.Count(text, "\n")+1, qt.IsTrue)
			return
		}
		for _, statement := range statements {
			qt.Check(t, roundTripDiff(statement, Print), qt.Equals, "", qt.Commentf("%s", Print(statement)))
		}
	})
}
