package loader

import (
	"bytes"
	"fmt"
	"regexp"

	"github.com/BurntSushi/toml"
)

// lines has the line of each key. The TOML library gives the keys in their
// order but not their places, so they are looked up one after the other.
type lines map[string]int

// findLines returns the lines of the keys of a document that was parsed.
func findLines(data []byte, meta toml.MetaData) lines {
	masked := mask(data)
	found := make(lines)
	arrays := make(map[string]int)
	offset := 0
	for _, key := range meta.Keys() {
		if end := seek(masked[offset:], key[len(key)-1]); end >= 0 {
			offset += end
		}
		if meta.Type(key...) == "ArrayHash" {
			arrays[key.String()]++
		}
		line := 1 + bytes.Count(masked[:offset], []byte("\n"))
		for _, path := range pathsOf(key, arrays) {
			if _, ok := found[path]; !ok {
				found[path] = line
			}
		}
	}
	return found
}

// pathsOf returns the paths of a key and of the tables that it is in. An array
// of tables has a path without an index, and one for each table.
func pathsOf(key toml.Key, arrays map[string]int) []string {
	var paths []string
	path := ""
	for i, name := range key {
		path = joinPath(path, name)
		paths = append(paths, path)
		if count := arrays[key[:i+1].String()]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
			paths = append(paths, path)
		}
	}
	return paths
}

func joinPath(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}

// seek returns the end of the next place where the name stands as a key, -1 if
// there is none.
func seek(masked []byte, name string) int {
	pattern := regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])` + regexp.QuoteMeta(name) + `"?'?[ \t]*(?:=|\]|\.)`)
	place := pattern.FindIndex(masked)
	if place == nil {
		return -1
	}
	// What follows the name belongs to the next key.
	return place[1] - 1
}

var (
	quoted = regexp.MustCompile(`(?s)"""(?:\\.|[^\\])*?"{3,5}|'''.*?'{3,5}|"(?:\\.|[^"\\\n])*"|'[^'\n]*'|#[^\n]*`)
	assign = regexp.MustCompile(`^[ \t]*=`)
)

// mask blanks out comments and strings, save strings that are keys, so that
// only keys are found.
func mask(data []byte) []byte {
	masked := bytes.Clone(data)
	for _, place := range quoted.FindAllIndex(data, -1) {
		if data[place[0]] != '#' && assign.Match(data[place[1]:]) {
			continue
		}
		for i := place[0]; i < place[1]; i++ {
			if masked[i] != '\n' {
				masked[i] = ' '
			}
		}
	}
	return masked
}
