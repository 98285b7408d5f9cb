package loader

import (
	"bytes"
	"fmt"
	"regexp"

	"github.com/BurntSushi/toml"
)

// keyLines maps the path of each key to its line. The TOML library returns the
// keys in document order but without positions, so each is searched for in the
// text after the previous one.
type keyLines map[string]int

// findLines returns the lines of the keys of a parsed document.
func findLines(data []byte, meta toml.MetaData) keyLines {
	masked := mask(data)
	located := make(keyLines)
	arrays := make(map[string]int)
	offset := 0
	for _, key := range meta.Keys() {
		if end := findKey(masked[offset:], key[len(key)-1]); end >= 0 {
			offset += end
		}
		if meta.Type(key...) == "ArrayHash" {
			arrays[key.String()]++
		}
		line := 1 + bytes.Count(masked[:offset], []byte("\n"))
		for _, path := range keyPaths(key, arrays) {
			if _, ok := located[path]; !ok {
				located[path] = line
			}
		}
	}
	return located
}

// keyPaths returns the paths of a key and of the tables that contain it. An
// array of tables has a path without an index, and one for each table.
func keyPaths(key toml.Key, arrays map[string]int) []string {
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

// findKey returns the end of the first occurrence of the name as a key, or -1 if
// there is none.
func findKey(masked []byte, name string) int {
	pattern := regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])` + regexp.QuoteMeta(name) + `"?'?[ \t]*(?:=|\]|\.)`)
	match := pattern.FindIndex(masked)
	if match == nil {
		return -1
	}
	// The last matched character may separate the name from the next key.
	return match[1] - 1
}

var (
	stringOrComment = regexp.MustCompile(`(?s)"""(?:\\.|[^\\])*?"{3,5}|'''.*?'{3,5}|"(?:\\.|[^"\\\n])*"|'[^'\n]*'|#[^\n]*`)
	assignment      = regexp.MustCompile(`^[ \t]*=`)
)

// mask replaces comments and strings by spaces, except for quoted keys, so that
// a search finds only keys.
func mask(data []byte) []byte {
	masked := bytes.Clone(data)
	for _, match := range stringOrComment.FindAllIndex(data, -1) {
		if data[match[0]] != '#' && assignment.Match(data[match[1]:]) {
			continue
		}
		for i := match[0]; i < match[1]; i++ {
			if masked[i] != '\n' {
				masked[i] = ' '
			}
		}
	}
	return masked
}
