package answerer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/parser"
)

// Select returns what the statement asks of the rows of its table: those that
// meet its condition, counted, sorted and limited. Rows that the statement
// leaves equal are in the order of their cells, so that the answer does not
// depend on who answered first. A column that the table does not have, and a
// value that the column cannot have, give a *parser.Error at its place.
func Select(show parser.Show, table Table) (Table, error) {
	keep, err := compile(table.columns, show.Where())
	if err != nil {
		return Table{}, err
	}
	chosen := Table{
		columns: table.columns,
		missing: table.missing,
	}
	for _, row := range table.rows {
		if keep(row) {
			chosen.rows = append(chosen.rows, row)
		}
	}
	if len(show.CountBy()) > 0 {
		if chosen, err = countBy(chosen, show.CountBy()); err != nil {
			return Table{}, err
		}
	}
	sortByCells(chosen)
	if err := sortBy(chosen, show.OrderBy()); err != nil {
		return Table{}, err
	}
	if show.Limit() > 0 && len(chosen.rows) > show.Limit() {
		chosen.rows = chosen.rows[:show.Limit()]
	}
	return chosen, nil
}

// index returns the place of a named column.
func index(columns []Column, named parser.Column) (int, error) {
	names := make([]string, len(columns))
	for i, column := range columns {
		if column.Name == named.Name() {
			return i, nil
		}
		names[i] = column.Name
	}
	return 0, named.Errorf(fmt.Sprintf("there is no column %q", named.Name()), names...)
}

// condition reports whether a row is asked for.
type condition func(Row) bool

// compile turns an expression into a condition on rows with the columns.
func compile(columns []Column, expr parser.Expr) (condition, error) {
	switch e := expr.(type) {
	case nil:
		return func(Row) bool { return true }, nil
	case parser.Or:
		terms, err := compileAll(columns, e.Terms())
		return func(row Row) bool {
			return slices.ContainsFunc(terms, func(term condition) bool { return term(row) })
		}, err
	case parser.And:
		terms, err := compileAll(columns, e.Terms())
		return func(row Row) bool {
			return !slices.ContainsFunc(terms, func(term condition) bool { return !term(row) })
		}, err
	case parser.Not:
		term, err := compile(columns, e.Term())
		return func(row Row) bool { return !term(row) }, err
	case parser.Comparison:
		return compileComparison(columns, e)
	case parser.In:
		return compileIn(columns, e)
	default:
		return nil, fmt.Errorf("answerer: the condition %T is not known", expr)
	}
}

func compileAll(columns []Column, exprs []parser.Expr) ([]condition, error) {
	conditions := make([]condition, len(exprs))
	for i, expr := range exprs {
		compiled, err := compile(columns, expr)
		if err != nil {
			return nil, err
		}
		conditions[i] = compiled
	}
	return conditions, nil
}

func compileComparison(columns []Column, e parser.Comparison) (condition, error) {
	i, err := index(columns, e.Column())
	if err != nil {
		return nil, err
	}
	kind := columns[i].Kind
	if e.Sign() == parser.Contains {
		part := plain(e.Value())
		return func(row Row) bool { return strings.Contains(row[i], part) }, nil
	}
	want, err := kind.value(e.Value())
	if err != nil {
		return nil, err
	}
	return func(row Row) bool { return holds(e.Sign(), kind.compare(row[i], want)) }, nil
}

func compileIn(columns []Column, e parser.In) (condition, error) {
	i, err := index(columns, e.Column())
	if err != nil {
		return nil, err
	}
	kind := columns[i].Kind
	var wants []string
	for _, value := range e.Values() {
		want, err := kind.value(value)
		if err != nil {
			return nil, err
		}
		wants = append(wants, want)
	}
	return func(row Row) bool {
		return slices.ContainsFunc(wants, func(want string) bool { return kind.compare(row[i], want) == 0 })
	}, nil
}

func holds(sign parser.Sign, order int) bool {
	switch sign {
	case parser.Equal:
		return order == 0
	case parser.NotEqual:
		return order != 0
	case parser.Less:
		return order < 0
	case parser.LessEqual:
		return order <= 0
	case parser.Greater:
		return order > 0
	case parser.GreaterEqual:
		return order >= 0
	default:
		return false
	}
}

// plain returns a value as it was written.
func plain(value parser.Value) string {
	switch v := value.(type) {
	case parser.Text:
		return v.Text()
	case parser.Quantity:
		return v.Literal()
	default:
		return ""
	}
}

// value brings a written value to the form of the column's cells.
func (k Kind) value(value parser.Value) (string, error) {
	text := plain(value)
	cell, err := k.cell(text)
	var unit *parser.UnitError
	if errors.As(err, &unit) {
		return "", value.Errorf(fmt.Sprintf("unexpected %q", text), unit.Want())
	}
	if err != nil {
		return "", value.Errorf(fmt.Sprintf("unexpected %q", text), `a time, such as "2026-01-31T12:00:00Z"`)
	}
	return cell, nil
}

// cell returns the cell that a text stands for.
func (k Kind) cell(text string) (string, error) {
	switch k {
	case KindCores:
		n, err := parser.ParseCores(text)
		return strconv.FormatInt(n, 10), err
	case KindBytes:
		n, err := parser.ParseBytes(text)
		return strconv.FormatInt(n, 10), err
	case KindDuration:
		d, err := parser.ParseDuration(text)
		return strconv.FormatInt(int64(d), 10), err
	case KindNumber:
		_, err := parser.ParseNumber(text)
		return text, err
	case KindTime:
		at, err := time.Parse(time.RFC3339Nano, text)
		return FormatTime(at), err
	default:
		return text, nil
	}
}

// compare orders two cells. A cell that is no number in a column of numbers
// comes before all that are.
func (k Kind) compare(a, b string) int {
	if k == KindText || k == KindTime {
		return cmp.Compare(a, b)
	}
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	switch {
	case errX != nil && errY != nil:
		return cmp.Compare(a, b)
	case errX != nil:
		return -1
	case errY != nil:
		return 1
	default:
		return cmp.Compare(x, y)
	}
}

// countBy returns one row for each combination of values, with their count.
func countBy(table Table, by []parser.Column) (Table, error) {
	const separator = "\x00"
	places := make([]int, len(by))
	counted := Table{
		missing: table.missing,
	}
	for i, column := range by {
		place, err := index(table.columns, column)
		if err != nil {
			return Table{}, err
		}
		places[i] = place
		counted.columns = append(counted.columns, table.columns[place])
	}
	counted.columns = append(counted.columns, Column{
		Name: "count",
		Kind: KindNumber,
	})
	counts := make(map[string]int)
	for _, row := range table.rows {
		cells := make([]string, len(places))
		for i, place := range places {
			cells[i] = row[place]
		}
		counts[strings.Join(cells, separator)]++
	}
	for group, count := range counts {
		counted.rows = append(counted.rows, append(strings.Split(group, separator), strconv.Itoa(count)))
	}
	slices.SortFunc(counted.rows, slices.Compare[Row])
	return counted, nil
}

// sortByCells sorts the rows in place by their cells from the first on.
func sortByCells(table Table) {
	slices.SortFunc(table.rows, func(a, b Row) int {
		for i, column := range table.columns {
			if c := column.Kind.compare(a[i], b[i]); c != 0 {
				return c
			}
		}
		// Cells may compare as equal and differ, as 1 and 1.0 do.
		return slices.Compare(a, b)
	})
}

// sortBy sorts the rows in place. Rows that the order leaves equal stay in
// theirs.
func sortBy(table Table, orders []parser.Order) error {
	places := make([]int, len(orders))
	for i, order := range orders {
		place, err := index(table.columns, order.Column())
		if err != nil {
			return err
		}
		places[i] = place
	}
	slices.SortStableFunc(table.rows, func(a, b Row) int {
		for i, place := range places {
			c := table.columns[place].Kind.compare(a[place], b[place])
			if c == 0 {
				continue
			}
			if orders[i].Descending() {
				return -c
			}
			return c
		}
		return 0
	})
	return nil
}
