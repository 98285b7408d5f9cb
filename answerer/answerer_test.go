package answerer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/parser"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// columns returns one column of each kind, in the order of newRow's cells.
func columns() []answerer.Column {
	var cols []answerer.Column
	for _, kind := range []answerer.Kind{answerer.KindText, answerer.KindCores, answerer.KindBytes, answerer.KindNumber, answerer.KindDuration, answerer.KindTime} {
		cols = append(cols, answerer.Column{
			Name: string(kind),
			Kind: kind,
		})
	}
	return cols
}

// newRow returns a row with one cell of each kind.
func newRow(text string, milliCores, mebibytes int64, number float64, running time.Duration, since time.Time) answerer.Row {
	return answerer.Row{
		text,
		strconv.FormatInt(milliCores, 10),
		strconv.FormatInt(mebibytes<<20, 10),
		strconv.FormatFloat(number, 'g', -1, 64),
		strconv.FormatInt(int64(running), 10),
		answerer.FormatTime(since),
	}
}

var noon = time.Date(2026, time.January, 31, 12, 0, 0, 0, time.UTC)

func sampleTable() answerer.Table {
	return answerer.NewTable(columns(),
		newRow("b", 500, 512, 10, time.Minute, noon),
		newRow("a", 2000, 2048, 9, time.Hour, noon.Add(time.Nanosecond)),
		newRow("c", 1500, 0, -0.5, 0, time.Time{}),
		newRow("a", 500, 512, 10, time.Second, noon.Add(-time.Hour)),
	)
}

func parseShow(t testing.TB, text string) parser.Show {
	statement, err := parser.Parse(text)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	return statement.(parser.Show)
}

// Each line has the part of a statement after "show tasks", and the result of
// Select: the first two cells of each row, or the error.
const selectCases = `
	                                            | a500 a2000 b500 c1500
	where text = a                              | a500 a2000
	where text != a                             | b500 c1500
	where text ~ "B" or text in (c, d)          | c1500
	where cores = 500m                          | a500 b500
	where cores >= 1.5                          | a2000 c1500
	where bytes > 0.5GiB                        | a2000
	where number < 9.5 and number > -1          | a2000 c1500
	where number in (10.0)                      | a500 b500
	where duration <= 60s                       | a500 b500 c1500
	where time > "2026-01-31T12:00:00Z"         | a2000
	where time <= "2026-01-31T13:00:00+01:00"   | a500 b500 c1500
	where not (text = a or cores = 0.5)         | c1500
	order by cores desc, text limit 2           | a2000 c1500
	order by number                             | c1500 a2000 a500 b500
	count by text order by count desc           | a2 b1 c1
	count by cores                              | 5002 15001 20001
	where name = x                              | 1:18: there is no column "name", expected text, cores, bytes, number, duration or time
	order by name                               | 1:21: there is no column "name", expected text, cores, bytes, number, duration or time
	count by text order by cores                | 1:35: there is no column "cores", expected text or count
	where cores = 5x                            | 1:26: unexpected "5x", expected an amount of cores, such as 4, 0.5 or 500m
	where bytes in (1MiB, 5)                    | 1:34: unexpected "5", expected an amount of memory, such as 512MiB or 2GiB
	where time > yesterday                      | 1:25: unexpected "yesterday", expected a time, such as "2026-01-31T12:00:00Z"
	where number = many                         | 1:27: unexpected "many", expected a number without a unit
	where not text = a and duration = 5         | 1:46: unexpected "5", expected a time above 0, such as 30s or 1h30m
`

func TestSelect(t *testing.T) {
	for line := range strings.Lines(strings.Trim(selectCases, "\n")) {
		text, want, _ := strings.Cut(line, " | ")
		text = strings.TrimSpace("show tasks " + strings.TrimSpace(text))
		t.Run(text, func(t *testing.T) {
			got, err := answerer.Select(parseShow(t, text), sampleTable())
			if err != nil {
				var fault *parser.Error
				qt.Check(t, errors.As(err, &fault), qt.IsTrue)
				qt.Check(t, err.Error(), qt.Equals, strings.TrimSpace(want))
				return
			}
			var rows []string
			for _, row := range got.Rows() {
				rows = append(rows, row[0]+row[1])
			}
			qt.Check(t, strings.Join(rows, " "), qt.Equals, strings.TrimSpace(want))
		})
	}
}

// selectFunc is answerer.Select or a faulty variant of it.
type selectFunc func(parser.Show, answerer.Table) (answerer.Table, error)

// checkSelectProperties checks properties that hold for every condition, and
// returns an error for the first one that selectRows violates.
func checkSelectProperties(t *rapid.T, selectRows selectFunc) error {
	parts := []answerer.Table{drawTable(t), drawTable(t).WithMissing("amman-b")}
	whole := parts[0].Merge(parts[1])
	condition := drawCondition(t, 2)
	query := func(text string, table answerer.Table) []answerer.Row {
		statement, err := parser.Parse("show tasks " + text)
		if err != nil {
			t.Fatalf("%s: %s", text, err)
		}
		got, err := selectRows(statement.(parser.Show), table)
		if err != nil {
			t.Fatalf("%s: %s", text, err)
		}
		if !slices.Equal(got.Missing(), table.Missing()) {
			t.Fatalf("%s: %v became %v", text, table.Missing(), got.Missing())
		}
		return got.Rows()
	}
	matching := query("where "+condition, whole)
	rejected := query("where not ("+condition+")", whole)
	ordered := query("where "+condition+" order by number desc, text", whole)
	limit := rapid.IntRange(1, 5).Draw(t, "limit")
	switch {
	case len(matching)+len(rejected) != len(whole.Rows()):
		return errors.New("a condition and its negation do not partition the rows")
	case !reflect.DeepEqual(matching, query("where "+condition, parts[1].Merge(parts[0]))):
		return errors.New("the result depends on the order in which tables are merged")
	case !reflect.DeepEqual(matching, query("where ("+condition+") and ("+condition+")", whole)):
		return errors.New("a condition joined with itself selects other rows")
	case len(ordered) != len(matching):
		return errors.New("order by changes the number of rows")
	case !slices.IsSortedFunc(ordered, byNumber):
		return errors.New("the rows are not sorted as order by asks")
	case !reflect.DeepEqual(ordered[:min(limit, len(ordered))], query(fmt.Sprintf("where %s order by number desc, text limit %d", condition, limit), whole)):
		return errors.New("limit does not return the first rows")
	case sumCounts(query("where "+condition+" count by text", whole)) != len(matching):
		return errors.New("the counts do not add up to the number of rows")
	default:
		return nil
	}
}

func byNumber(a, b answerer.Row) int {
	x, _ := strconv.Atoi(a[3])
	y, _ := strconv.Atoi(b[3])
	if x != y {
		return y - x
	}
	return strings.Compare(a[0], b[0])
}

func sumCounts(counts []answerer.Row) int {
	total := 0
	for _, row := range counts {
		n, _ := strconv.Atoi(row[1])
		total += n
	}
	return total
}

func drawTable(t *rapid.T) answerer.Table {
	var rows []answerer.Row
	for range rapid.IntRange(0, 6).Draw(t, "rows") {
		rows = append(rows, newRow(
			rapid.SampledFrom([]string{"a", "b", "", "a b"}).Draw(t, "text"),
			rapid.Int64Range(0, 3).Draw(t, "cores")*500,
			rapid.Int64Range(0, 2).Draw(t, "bytes"),
			float64(rapid.IntRange(-12, 12).Draw(t, "number")),
			time.Duration(rapid.IntRange(0, 2).Draw(t, "duration"))*time.Second,
			noon.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "time"))),
		))
	}
	return answerer.NewTable(columns(), rows...)
}

func drawCondition(t *rapid.T, depth int) string {
	comparisons := []string{
		"text = a", `text ~ "b"`, "cores >= 500m", "bytes < 2MiB", "number > -3",
		"number in (1, 10)", "duration != 1s", `time > "2026-01-31T12:00:00Z"`,
	}
	kind := rapid.IntRange(0, 3).Draw(t, "condition")
	if depth == 0 || kind == 0 {
		return rapid.SampledFrom(comparisons).Draw(t, "comparison")
	}
	if kind == 1 {
		return "not (" + drawCondition(t, depth-1) + ")"
	}
	sign := []string{" and ", " or "}[kind-2]
	return "(" + drawCondition(t, depth-1) + sign + drawCondition(t, depth-1) + ")"
}

func TestSelectHasProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkSelectProperties(t, answerer.Select); err != nil {
			t.Fatal(err)
		}
	})
}

func TestPropertiesFindFaultySelects(t *testing.T) {
	// Each fault changes the rows that Select returns.
	faults := map[string]func(parser.Show, []answerer.Row) []answerer.Row{
		"loses the last row": func(_ parser.Show, rows []answerer.Row) []answerer.Row {
			return rows[:max(0, len(rows)-1)]
		},
		"orders numbers as text": func(show parser.Show, rows []answerer.Row) []answerer.Row {
			if len(show.OrderBy()) > 0 {
				slices.SortFunc(rows, func(a, b answerer.Row) int { return strings.Compare(b[3], a[3]) })
			}
			return rows
		},
		"forgets to limit": func(show parser.Show, rows []answerer.Row) []answerer.Row {
			if show.Limit() > 0 {
				return append(rows, rows...)
			}
			return rows
		},
	}
	for name, fault := range faults {
		found := false
		rapid.Check(t, func(t *rapid.T) {
			err := checkSelectProperties(t, func(show parser.Show, table answerer.Table) (answerer.Table, error) {
				got, err := answerer.Select(show, table)
				changed := answerer.NewTable(got.Columns(), fault(show, slices.Clone(got.Rows()))...)
				return changed.WithMissing(got.Missing()...), err
			})
			found = found || err != nil
		})
		qt.Check(t, found, qt.IsTrue, qt.Commentf(name))
	}
}

func TestTableInJSON(t *testing.T) {
	c := qt.New(t)
	table := sampleTable().WithMissing("north-hall", "amman-a", "north-hall")
	data, err := json.Marshal(table)
	c.Assert(err, qt.IsNil)
	var got answerer.Table
	c.Assert(json.Unmarshal(data, &got), qt.IsNil)
	c.Check(reflect.DeepEqual(got, table), qt.IsTrue)
	c.Check(got.Missing(), qt.DeepEquals, []string{"amman-a", "north-hall"})
	c.Check(json.Unmarshal([]byte(`{"columns":[{"name":"a"}],"rows":[["1","2"]]}`), &got), qt.ErrorMatches, ".*2 cells for 1 columns")
}

func ExampleSelect() {
	table := answerer.NewTable(
		[]answerer.Column{
			{
				Name: "name",
				Kind: answerer.KindText,
			},
			{
				Name: "cpu",
				Kind: answerer.KindCores,
			},
		},
		answerer.Row{"w1", "16000"},
		answerer.Row{"w2\n", "500"},
		answerer.Row{`{"w": 3}`, "1500"},
		answerer.Row{"w4", "64000"},
	)
	statement, err := parser.Parse("show workers where cpu < 20 order by cpu")
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := answerer.Select(statement.(parser.Show), table.WithMissing("amman-c"))
	if err != nil {
		fmt.Println(err)
		return
	}
	// Writing to standard output does not fail here.
	_ = answer.Print(os.Stdout)
	// Output:
	// NAME      CPU
	// "w2\n"    0.5
	// {"w": 3}  1.5
	// w1        16
	// not heard of: amman-c
}
