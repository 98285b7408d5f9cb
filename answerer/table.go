// Package answerer answers the queries of the operators' language: it filters,
// counts, sorts and prints the rows of tables, and puts the answers of several
// processes together.
//
// The package does not know where rows come from. It never hides that an
// answer is partial: a table names who was not heard of.
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

// Kind says how the cells of a column compare.
type Kind string

// The kinds of column.
const (
	// KindText compares as text.
	KindText Kind = "text"
	// KindNumber compares as a number. A quantity with a unit is brought to
	// the column's unit first.
	KindNumber Kind = "number"
	// KindCores is a number of thousandths of a core.
	KindCores Kind = "cores"
	// KindBytes is a number of bytes.
	KindBytes Kind = "bytes"
	// KindDuration is a number of nanoseconds.
	KindDuration Kind = "duration"
	// KindTime is a time as FormatTime writes it.
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
// so that cells compare as the times do. A time that is zero gives an empty
// cell.
func FormatTime(at time.Time) string {
	const sortable = "2006-01-02T15:04:05.000000000Z"
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(sortable)
}

// Table is an answer.
type Table struct {
	columns []Column
	// rows have as many cells as there are columns.
	rows []Row
	// missing names who was not heard of, sorted and without repeats.
	missing []string
}

// NewTable returns a table. Rows with another number of cells than there are
// columns are a fault of the caller and panic.
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

// Missing returns who was not heard of. The answer is whole if it is empty.
func (t Table) Missing() []string { return t.missing }

// WithMissing returns the table with more names of who was not heard of.
func (t Table) WithMissing(names ...string) Table {
	t.missing = slices.Concat(t.missing, names)
	slices.Sort(t.missing)
	t.missing = slices.Compact(t.missing)
	return t
}

// Merge returns the rows of both tables. A table without columns adds only who
// is missing; the other columns must be the same.
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

// UnmarshalJSON decodes what MarshalJSON encodes.
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

// Print writes the table for people.
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
			cells[i] = t.columns[i].Kind.format(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if len(t.missing) > 0 {
		fmt.Fprintln(w, "not heard of: "+strings.Join(t.missing, ", "))
	}
	return w.Flush()
}

// format returns a cell for people.
func (k Kind) format(cell string) string {
	const mebibyte = 1 << 20
	number, err := strconv.ParseFloat(cell, 64)
	if err != nil {
		return oneLine(cell)
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

// oneLine keeps what others have named from breaking the table.
func oneLine(cell string) string {
	if strings.ContainsFunc(cell, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(cell)
	}
	return cell
}
