package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Load reads and validates the settings file at the path. The files that the
// settings name must be readable. The error is a *Faults.
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

// Parse validates the content of a settings file; name is the file name in
// faults. It reads no files. The error is a *Faults.
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
		keyLines:  findLines(data, meta),
		readFiles: readFiles,
		settings:  defaults(),
	}
	c.checkDocument(document)
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

// checker validates one document, and collects its settings and faults.
type checker struct {
	file      string
	keyLines  keyLines
	readFiles bool
	settings  Settings
	faults    []Fault
}

// addFault adds a fault at the key of a section.
func (c *checker) addFault(section, key, format string, args ...any) {
	path := joinPath(section, key)
	c.faults = append(c.faults, Fault{
		file:    c.file,
		line:    c.lineOf(section, path),
		key:     path,
		message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) lineOf(section, path string) int {
	if line, ok := c.keyLines[path]; ok {
		return line
	}
	if line, ok := c.keyLines[section]; ok {
		return line
	}
	return 1
}

// checkTable stores the values of a section in the settings that the fields name.
// It adds faults for invalid values, unknown keys and missing required keys.
func (c *checker) checkTable(section string, values map[string]any, fields []field) {
	for key := range values {
		if !slices.ContainsFunc(fields, func(f field) bool { return f.key == key }) {
			c.addFault(section, key, "unknown key, it is none of %s", joinKeys(fields))
		}
	}
	for _, f := range fields {
		value, ok := values[f.key]
		if !ok {
			if f.required {
				c.addFault(section, f.key, "missing")
			}
			continue
		}
		if err := f.set(value); err != nil {
			c.addFault(section, f.key, "%s", err)
		}
	}
}

func joinKeys(fields []field) string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return strings.Join(keys, ", ")
}

// tableNamed returns the table of that name, or nil if it is missing. It adds a
// fault and returns nil if the value is not a table.
func (c *checker) tableNamed(document map[string]any, name string) map[string]any {
	value, ok := document[name]
	if !ok {
		return nil
	}
	table, ok := value.(map[string]any)
	if !ok {
		c.addFault("", name, "is %s, and has to be a section [%s]", typeName(value), name)
	}
	return table
}

// tablesNamed returns the array of tables of that name, or nil if it is missing.
// It adds a fault and returns nil if the value is not an array of tables.
func (c *checker) tablesNamed(document map[string]any, name string) []map[string]any {
	value, ok := document[name]
	if !ok {
		return nil
	}
	tables, ok := value.([]map[string]any)
	if !ok {
		c.addFault("", name, "is %s, and has to be sections [[%s]]", typeName(value), name)
	}
	return tables
}
