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

// Select evaluates the statement on its table: it filters, counts, sorts and
// limits the rows. Rows that the statement's order leaves equal are sorted by
// their cells, so that the result does not depend on which process answered
// first. A column that the table does not have, or a value that does not fit
// its column, gives a *parser.Error with its position.
func Select(show parser.Show, table Table) (Table, error) {
	matches, err := compile(table.columns, show.Where())
	if err != nil {
		return Table{}, err
	}
	selected := Table{
		columns: table.columns,
		missing: table.missing,
	}
	for _, row := range table.rows {
		if matches(row) {
			selected.rows = append(selected.rows, row)
		}
	}
	if len(show.CountBy()) > 0 {
		if selected, err = countBy(selected, show.CountBy()); err != nil {
			return Table{}, err
		}
	}
	sortByCells(selected)
	if err := sortByColumns(selected, show.OrderBy()); err != nil {
		return Table{}, err
	}
	if show.Limit() > 0 && len(selected.rows) > show.Limit() {
		selected.rows = selected.rows[:show.Limit()]
	}
	return selected, nil
}

// columnIndex returns the index of the named column.
func columnIndex(columns []Column, named parser.Column) (int, error) {
	names := make([]string, len(columns))
	for i, column := range columns {
		if column.Name == named.Name() {
			return i, nil
		}
		names[i] = column.Name
	}
	return 0, named.NewError(fmt.Sprintf("there is no column %q", named.Name()), names...)
}

// predicate reports whether a row meets a condition.
type predicate func(Row) bool

// compile turns an expression into a predicate on rows with the given columns.
// A nil expression matches every row.
func compile(columns []Column, expr parser.Expr) (predicate, error) {
	switch e := expr.(type) {
	case nil:
		return func(Row) bool { return true }, nil
	case parser.Or:
		terms, err := compileAll(columns, e.Terms())
		return func(row Row) bool {
			return slices.ContainsFunc(terms, func(term predicate) bool { return term(row) })
		}, err
	case parser.And:
		terms, err := compileAll(columns, e.Terms())
		return func(row Row) bool {
			return !slices.ContainsFunc(terms, func(term predicate) bool { return !term(row) })
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

func compileAll(columns []Column, exprs []parser.Expr) ([]predicate, error) {
	predicates := make([]predicate, len(exprs))
	for i, expr := range exprs {
		compiled, err := compile(columns, expr)
		if err != nil {
			return nil, err
		}
		predicates[i] = compiled
	}
	return predicates, nil
}

func compileComparison(columns []Column, e parser.Comparison) (predicate, error) {
	i, err := columnIndex(columns, e.Column())
	if err != nil {
		return nil, err
	}
	kind := columns[i].Kind
	if e.Sign() == parser.Contains {
		substring := literalText(e.Value())
		return func(row Row) bool { return strings.Contains(row[i], substring) }, nil
	}
	want, err := kind.parseValue(e.Value())
	if err != nil {
		return nil, err
	}
	return func(row Row) bool { return satisfies(e.Sign(), kind.compare(row[i], want)) }, nil
}

func compileIn(columns []Column, e parser.In) (predicate, error) {
	i, err := columnIndex(columns, e.Column())
	if err != nil {
		return nil, err
	}
	kind := columns[i].Kind
	var wants []string
	for _, value := range e.Values() {
		want, err := kind.parseValue(value)
		if err != nil {
			return nil, err
		}
		wants = append(wants, want)
	}
	return func(row Row) bool {
		return slices.ContainsFunc(wants, func(want string) bool { return kind.compare(row[i], want) == 0 })
	}, nil
}

// satisfies reports whether two cells satisfy the sign, given the result of
// their comparison.
func satisfies(sign parser.Sign, result int) bool {
	switch sign {
	case parser.Equal:
		return result == 0
	case parser.NotEqual:
		return result != 0
	case parser.Less:
		return result < 0
	case parser.LessEqual:
		return result <= 0
	case parser.Greater:
		return result > 0
	case parser.GreaterEqual:
		return result >= 0
	default:
		return false
	}
}

// literalText returns the text of a value, without quotes.
func literalText(value parser.Value) string {
	switch v := value.(type) {
	case parser.Text:
		return v.Text()
	case parser.Quantity:
		return v.Literal()
	default:
		return ""
	}
}

// parseValue converts a value of a statement to the form of the column's cells.
func (k Kind) parseValue(value parser.Value) (string, error) {
	text := literalText(value)
	cell, err := k.parseCell(text)
	var unitErr *parser.UnitError
	if errors.As(err, &unitErr) {
		return "", value.NewError(fmt.Sprintf("unexpected %q", text), unitErr.Want())
	}
	if err != nil {
		return "", value.NewError(fmt.Sprintf("unexpected %q", text), `a time, such as "2026-01-31T12:00:00Z"`)
	}
	return cell, nil
}

// parseCell returns the cell for the text of a value.
func (k Kind) parseCell(text string) (string, error) {
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
		parsed, err := time.Parse(time.RFC3339Nano, text)
		return FormatTime(parsed), err
	default:
		return text, nil
	}
}

// compare orders two cells. In a column of numbers, cells that are not
// numbers come first, in the order of their text.
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

// countBy returns one row for each combination of values of the columns, with
// the number of rows that have it.
func countBy(table Table, groupColumns []parser.Column) (Table, error) {
	const separator = "\x00"
	indexes := make([]int, len(groupColumns))
	counted := Table{
		missing: table.missing,
	}
	for i, column := range groupColumns {
		index, err := columnIndex(table.columns, column)
		if err != nil {
			return Table{}, err
		}
		indexes[i] = index
		counted.columns = append(counted.columns, table.columns[index])
	}
	counted.columns = append(counted.columns, Column{
		Name: "count",
		Kind: KindNumber,
	})
	counts := make(map[string]int)
	for _, row := range table.rows {
		cells := make([]string, len(indexes))
		for i, index := range indexes {
			cells[i] = row[index]
		}
		counts[strings.Join(cells, separator)]++
	}
	for group, count := range counts {
		counted.rows = append(counted.rows, append(strings.Split(group, separator), strconv.Itoa(count)))
	}
	slices.SortFunc(counted.rows, slices.Compare[Row])
	return counted, nil
}

// sortByCells sorts the rows in place by their cells, from the first column on.
func sortByCells(table Table) {
	slices.SortFunc(table.rows, func(a, b Row) int {
		for i, column := range table.columns {
			if c := column.Kind.compare(a[i], b[i]); c != 0 {
				return c
			}
		}
		// Cells with different text may compare as equal, such as 1 and 1.0.
		return slices.Compare(a, b)
	})
}

// sortByColumns sorts the rows in place by the columns of the orders. The sort
// is stable.
func sortByColumns(table Table, orders []parser.Order) error {
	indexes := make([]int, len(orders))
	for i, order := range orders {
		index, err := columnIndex(table.columns, order.Column())
		if err != nil {
			return err
		}
		indexes[i] = index
	}
	slices.SortStableFunc(table.rows, func(a, b Row) int {
		for i, index := range indexes {
			c := table.columns[index].Kind.compare(a[index], b[index])
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
