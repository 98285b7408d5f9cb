// Package answerer evaluates queries of the operators' language: it filters,
// counts, sorts and prints the rows of tables, and merges the tables that
// several processes return.
//
// The package does not know where rows come from. A partial answer is always
// marked as such: a table lists the sources that did not answer.
package answerer

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

// Kind is the type of a column's cells. It determines how they are compared and
// printed.
type Kind string

// The kinds of column.
const (
	// KindText compares as text.
	KindText Kind = "text"
	// KindNumber compares as a number. A quantity that a statement compares
	// with it must have no unit.
	KindNumber Kind = "number"
	// KindCores is a number of thousandths of a core.
	KindCores Kind = "cores"
	// KindBytes is a number of bytes.
	KindBytes Kind = "bytes"
	// KindDuration is a number of nanoseconds.
	KindDuration Kind = "duration"
	// KindTime is a time in the format of FormatTime.
	KindTime Kind = "time"
)

// Column is one column of a table.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Row has one cell for each column.
type Row []string

// FormatTime returns the cell for a time, in RFC 3339 with nanoseconds in UTC,
// so that cells sort as the times do. The zero time gives an empty cell.
func FormatTime(t time.Time) string {
	const layout = "2006-01-02T15:04:05.000000000Z"
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(layout)
}

// Table holds the rows of an answer, and the names of the sources that are
// missing from it.
type Table struct {
	columns []Column
	// Each row has one cell for each column.
	rows []Row
	// missing names the sources that did not answer, sorted and without
	// duplicates.
	missing []string
}

// NewTable returns a table. It panics if a row does not have one cell for each
// column.
func NewTable(columns []Column, rows ...Row) Table {
	for _, row := range rows {
		if len(row) != len(columns) {
			panic(fmt.Sprintf("answerer: %d cells for %d columns", len(row), len(columns)))
		}
	}
	return Table{
		columns: columns,
		rows:    rows,
	}
}

// Columns returns the columns.
func (t Table) Columns() []Column { return t.columns }

// Rows returns the rows.
func (t Table) Rows() []Row { return t.rows }

// Missing returns the names of the sources that did not answer, none if the
// table is complete.
func (t Table) Missing() []string { return t.missing }

// WithMissing returns the table with the names added to those of the missing
// sources.
func (t Table) WithMissing(names ...string) Table {
	t.missing = slices.Concat(t.missing, names)
	slices.Sort(t.missing)
	t.missing = slices.Compact(t.missing)
	return t
}

// Merge returns a table with the rows and the missing sources of both tables,
// which must have the same columns. A table without columns contributes only
// its missing sources.
func (t Table) Merge(other Table) Table {
	merged := t
	if len(merged.columns) == 0 {
		merged.columns = other.columns
	}
	merged.rows = slices.Concat(t.rows, other.rows)
	return merged.WithMissing(other.missing...)
}

type wireTable struct {
	Columns []Column `json:"columns"`
	Rows    []Row    `json:"rows"`
	Missing []string `json:"missing,omitempty"`
}

// MarshalJSON encodes the table with the keys columns, rows and missing.
func (t Table) MarshalJSON() ([]byte, error) {
	w := wireTable{
		Columns: t.columns,
		Rows:    t.rows,
		Missing: t.missing,
	}
	if w.Rows == nil {
		w.Rows = []Row{}
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (t *Table) UnmarshalJSON(data []byte) error {
	var w wireTable
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("answerer: decode a table: %w", err)
	}
	for _, row := range w.Rows {
		if len(row) != len(w.Columns) {
			return fmt.Errorf("answerer: decode a table: %d cells for %d columns", len(row), len(w.Columns))
		}
	}
	*t = Table{
		columns: w.Columns,
		rows:    w.Rows,
		missing: w.Missing,
	}
	return nil
}

// Print writes the table as aligned text.
func (t Table) Print(out io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	names := make([]string, len(t.columns))
	for i, column := range t.columns {
		names[i] = strings.ToUpper(column.Name)
	}
	fmt.Fprintln(w, strings.Join(names, "\t"))
	for _, row := range t.rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = t.columns[i].Kind.formatCell(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if len(t.missing) > 0 {
		fmt.Fprintln(w, "not heard of: "+strings.Join(t.missing, ", "))
	}
	return w.Flush()
}

// formatCell returns a cell as Print shows it.
func (k Kind) formatCell(cell string) string {
	const mebibyte = 1 << 20
	number, err := strconv.ParseFloat(cell, 64)
	if err != nil {
		return quoteUnprintable(cell)
	}
	switch k {
	case KindCores:
		return strconv.FormatFloat(number/1000, 'g', -1, 64)
	case KindBytes:
		return strconv.FormatFloat(number/mebibyte, 'f', 0, 64) + "MiB"
	case KindDuration:
		return time.Duration(number).String()
	default:
		return cell
	}
}

// quoteUnprintable quotes a cell with unprintable characters, such as line
// feeds in a name, so that it cannot break the table's layout.
func quoteUnprintable(cell string) string {
	if strings.ContainsFunc(cell, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(cell)
	}
	return cell
}
