package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	file string
	// line counts from 1. It is the line of the key, of its section if the
	// key is missing, or 1 if the section is missing too.
	line int
	// key is the path of the key, such as "terms.lease", or empty if the fault
	// concerns the whole file.
	key     string
	message string
}

// File returns the name of the settings file.
func (f Fault) File() string { return f.file }

// Line returns the line of the fault, counted from 1.
func (f Fault) Line() int { return f.line }

// Key returns the path of the key, such as "terms.lease" or
// "operator[1].name". It is empty if the fault concerns the whole file.
func (f Fault) Key() string { return f.key }

// Message describes the fault, without its place.
func (f Fault) Message() string { return f.message }

// Error returns the fault as file:line: key: message.
func (f Fault) Error() string {
	if f.key == "" {
		return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.message)
}

// Faults is the error that lists all faults of a settings file.
type Faults struct {
	// faults are sorted by line, then by key. There is at least one.
	faults []Fault
}

// All returns the faults, sorted by line, then by key.
func (f *Faults) All() []Fault { return f.faults }

// Error returns the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.faults))
	for _, fault := range f.faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// newFaults returns the faults as a *Faults error, or nil if there are none.
func newFaults(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.key, b.key))
	})
	return &Faults{
		faults: faults,
	}
}
