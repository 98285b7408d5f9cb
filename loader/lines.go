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
	tableCounts := make(map[string]int)
	offset := 0
	for _, key := range meta.Keys() {
		if end := findKey(masked[offset:], key[len(key)-1]); end >= 0 {
			offset += end
		}
		if meta.Type(key...) == "ArrayHash" {
			tableCounts[key.String()]++
		}
		line := 1 + bytes.Count(masked[:offset], []byte("\n"))
		for _, path := range keyPaths(key, tableCounts) {
			if _, ok := located[path]; !ok {
				located[path] = line
			}
		}
	}
	return located
}

// keyPaths returns the paths of a key and of the tables that contain it. For an
// array of tables it returns the path without an index, and the path of the table
// found last; tableCounts has the number of tables found so far in each array.
func keyPaths(key toml.Key, tableCounts map[string]int) []string {
	var paths []string
	path := ""
	for i, name := range key {
		path = joinPath(path, name)
		paths = append(paths, path)
		if count := tableCounts[key[:i+1].String()]; count > 0 {
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

// findKey returns the offset of the separator ("=", "]" or ".") that follows the
// first occurrence of the name as a key, or -1 if there is none.
func findKey(masked []byte, name string) int {
	pattern := regexp.MustCompile(`(?:^|[^A-Za-z0-9_-])` + regexp.QuoteMeta(name) + `"?'?[ \t]*(?:=|\]|\.)`)
	match := pattern.FindIndex(masked)
	if match == nil {
		return -1
	}
	// The separator stays in the text that is searched next, since a key may
	// follow it.
	return match[1] - 1
}

var (
	stringOrComment = regexp.MustCompile(`(?s)"""(?:\\.|[^\\])*?"{3,5}|'''.*?'{3,5}|"(?:\\.|[^"\\\n])*"|'[^'\n]*'|#[^\n]*`)
	assignment      = regexp.MustCompile(`^[ \t]*=`)
)

// mask returns a copy of the data in which comments and strings, except for
// quoted keys, are replaced by spaces, so that a search finds only keys.
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
