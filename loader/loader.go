package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Load reads and checks the settings file at the path. The files that it names
// have to be readable. The error is *Faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, newFaults([]Fault{
			{
				file:    path,
				line:    1,
				message: "cannot be read: " + err.Error(),
			},
		})
	}
	return parse(path, data, true)
}

// Parse checks settings that were read already; name stands for the file in
// faults. It reads no files. The error is *Faults.
func Parse(name string, data []byte) (Settings, error) {
	return parse(name, data, false)
}

func parse(name string, data []byte, readFiles bool) (Settings, error) {
	var document map[string]any
	meta, err := toml.Decode(string(data), &document)
	if err != nil {
		return Settings{}, newFaults([]Fault{
			syntaxFault(name, err),
		})
	}
	c := checker{
		file:      name,
		lines:     findLines(data, meta),
		readFiles: readFiles,
		settings:  defaults(),
	}
	c.document(document)
	if err := newFaults(c.faults); err != nil {
		return Settings{}, err
	}
	return c.settings, nil
}

func syntaxFault(name string, err error) Fault {
	fault := Fault{
		file:    name,
		line:    1,
		message: err.Error(),
	}
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		fault.line = max(1, syntax.Position.Line)
		fault.key = syntax.LastKey
		fault.message = syntax.Message
	}
	return fault
}

// checker collects the faults of one document.
type checker struct {
	file      string
	lines     lines
	readFiles bool
	settings  Settings
	faults    []Fault
}

// fault notes a fault at the key of a section.
func (c *checker) fault(section, key, format string, args ...any) {
	path := joinPath(section, key)
	c.faults = append(c.faults, Fault{
		file:    c.file,
		line:    c.lineOf(section, path),
		key:     path,
		message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) lineOf(section, path string) int {
	if line, ok := c.lines[path]; ok {
		return line
	}
	if line, ok := c.lines[section]; ok {
		return line
	}
	return 1
}

// table checks each value of a section by the field that it is for, and faults
// the keys without a field and the fields that are required and missing.
func (c *checker) table(section string, values map[string]any, fields []field) {
	for key := range values {
		if !slices.ContainsFunc(fields, func(f field) bool { return f.key == key }) {
			c.fault(section, key, "unknown key, it is none of %s", keysOf(fields))
		}
	}
	for _, f := range fields {
		value, ok := values[f.key]
		if !ok {
			if f.required {
				c.fault(section, f.key, "missing")
			}
			continue
		}
		if err := f.set(value); err != nil {
			c.fault(section, f.key, "%s", err)
		}
	}
}

func keysOf(fields []field) string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return strings.Join(keys, ", ")
}

// section returns the table of that name, an empty one if it is missing or no
// table.
func (c *checker) section(document map[string]any, name string) map[string]any {
	value, ok := document[name]
	if !ok {
		return nil
	}
	table, ok := value.(map[string]any)
	if !ok {
		c.fault("", name, "is %s, and has to be a section [%s]", nameOf(value), name)
	}
	return table
}

// sections returns the tables of an array.
func (c *checker) sections(document map[string]any, name string) []map[string]any {
	value, ok := document[name]
	if !ok {
		return nil
	}
	tables, ok := value.([]map[string]any)
	if !ok {
		c.fault("", name, "is %s, and has to be sections [[%s]]", nameOf(value), name)
	}
	return tables
}
