package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/loader"
)

func Example() {
	settings, err := loader.Load("testdata/entry.toml")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(settings.Entry().Name(), "in", settings.Entry().DataCentre())
	fmt.Println("lease", settings.Terms().Lease(), "suspect", settings.Terms().Suspect())
	// Output:
	// entry-1 in klein-hall
	// lease 10s suspect 2s
}

func readGood(t testing.TB) string {
	data, err := os.ReadFile("testdata/entry.toml")
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// badSettings has one case per line: a text in testdata/entry.toml, its
// replacement (\n stands for a line feed), and the expected faults, each with
// line, key and message.
const badSettings = `
	name = "entry-1"              | title = "entry-1"             | 3: entry.name: missing;; 4: entry.title: unknown key, it is none of name, dataCentre, callers, peers, operators
	name = "entry-1"              | name = "Entry 1"              | 4: entry.name: "Entry 1" is not of lower-case letters, digits and inner hyphens
	name = "entry-1"              | name = ""                     | 4: entry.name: is empty
	name = "entry-1"              | name = 1                      | 4: entry.name: is an integer, and has to be a string
	name = "entry-1"              | name = "entry-1               | 4: entry.name: strings cannot contain newlines
	dataCentre = "klein-hall"     |                               | 3: entry.dataCentre: missing
	callers = "127.0.0.1:8080"    | callers = "localhost:8080"    | 6: entry.callers: "localhost:8080" is no IP number with a port, such as 10.0.0.1:9000
	callers = "127.0.0.1:8080"    | callers = "127.0.0.1"         | 6: entry.callers: "127.0.0.1" is no IP number with a port, such as 10.0.0.1:9000
	callers = "127.0.0.1:8080"    | callers = "127.0.0.1:80800"   | 6: entry.callers: "127.0.0.1:80800" is no IP number with a port, such as 10.0.0.1:9000
	callers = "127.0.0.1:8080"    | callers = "0.0.0.0:8081"      | 7: entry.peers: "127.0.0.1:8081" clashes with entry.callers, "0.0.0.0:8081"
	peers = "127.0.0.1:8081"      | peers = "0.0.0.0:8081"        | 7: entry.peers: "0.0.0.0:8081" is no address at which others reach the process
	operators = "127.0.0.1:8082"  | operators = "127.0.0.1:8081"  | 8: entry.operators: "127.0.0.1:8081" clashes with entry.peers, "127.0.0.1:8081"
	["http://127.0.0.1:9000"]     | []                            | 11: platform.addresses: has 0, and needs at least 1
	["http://127.0.0.1:9000"]     | "http://127.0.0.1:9000"       | 11: platform.addresses: is a string, and has to be an array of strings
	["http://127.0.0.1:9000"]     | ["ftp://127.0.0.1:9000"]      | 11: platform.addresses: "ftp://127.0.0.1:9000" is no address such as http://10.0.0.1:9000
	["http://127.0.0.1:9000"]     | ["http://127.0.0.1:9000/v1"]  | 11: platform.addresses: "http://127.0.0.1:9000/v1" has more than a scheme, a host and a port
	["http://127.0.0.1:9000"]     | ["1.2.3.4:5", "http://1.2.3.4:5"] | 11: platform.addresses: "http://1.2.3.4:5" stands twice
	["http://127.0.0.1:9000"]     | ["127.0.0.1:8082"]            | 11: platform.addresses: "127.0.0.1:8082" clashes with an address of [entry]
	["http://127.0.0.1:9000"]     | [9000]                        | 11: platform.addresses: is an integer, and has to be a string, as each in the array
	secret = "a secret of the cell" | secret = "short"            | 14: peers.secret: is shorter than 16 bytes
	["127.0.0.1:8091"]            | ["127.0.0.1:0"]               | 15: peers.seeds: "127.0.0.1:0" has no port
	lease = "10s"                 | lease = 10                    | 18: terms.lease: is an integer, and has to be a time with a unit, such as "500ms"
	lease = "10s"                 | lease = "10"                  | 18: terms.lease: "10" is no time with a unit, such as "500ms"
	lease = "10s"                 | lease = "10 seconds"          | 18: terms.lease: "10 seconds" is no time with a unit, such as "500ms"
	lease = "10s"                 | lease = "2h"                  | 18: terms.lease: "2h" is not between 1ms and 1h0m0s
	lease = "10s"                 | lease = "-1s"                 | 18: terms.lease: "-1s" is not between 1ms and 1h0m0s
	lease = "10s"                 | lease = "3s"                  | 18: terms.lease: 3s is less than 2 times terms.renewal, 2s
	renewal = "2s"                | clockRateError = "20s"        | 18: terms.lease: 10s is less than 1 times terms.clockRateError, 20s
	renewal = "2s"                | heartbeat = "3s"              | 17: terms.suspect: 2s is less than 2 times terms.heartbeat, 3s
	renewal = "2s"                | grace = "1m"                  | 17: terms.stop: 30s is less than 1 times terms.grace, 1m0s
	renewal = "2s"                | renewals = "2s"               | 19: terms.renewals: unknown key, it is none of lease, renewal, heartbeat, suspect, delivery, clockRateError, grace, stop
	renewal = "2s"                | lease = "2s"                  | 19: terms.lease: Key 'terms.lease' has already been defined.
	level = "info"                | level = "loud"                | 22: log.level: "loud" is none of debug, info, warn, error
	format = "text"               | format = "xml"                | 23: log.format: "xml" is none of json, text
	name = "parcelguard"          | name = "omuti"                | 30: operator[1].name: "omuti" stands twice
	token = "token-of-parcelguard" | token = "token-of-omuti-4711" | 31: operator[1].token: is that of another operator too
	token = "token-of-omuti-4711" | token = "4711"                | 27: operator[0].token: is shorter than 16 bytes
	token = "token-of-omuti-4711" |                               | 25: operator[0].token: missing
	[log]                         | [logs]                        | 21: logs: unknown section, it is none of entry, platform, peers, terms, log, operator, tls
	[platform]                    | [platform.more]               | 10: platform.addresses: missing;; 10: platform.more: unknown key, it is none of addresses
	[log]                         | [tls]\ncertificate = "c"\n[log] | 21: tls.authority: missing;; 21: tls.key: missing
	[[operator]]\nname = "omuti"  | [operator]\nname = "omuti"    | 29: : Key 'operator' was already created and cannot be used as an array.
	[log]                         | # lease = 1\n[log]\n"lease" = """\nlease = 1\n""" | 23: log.lease: unknown key, it is none of level, format
	[peers]                       | [[peers]]                     | 13: peers: is an array of sections, and has to be a section [peers];; 13: peers.secret: missing
`

func TestBadSettings(t *testing.T) {
	good := readGood(t)
	unescape := strings.NewReplacer(`\n`, "\n")
	for line := range strings.Lines(strings.TrimSpace(badSettings)) {
		columns := strings.Split(line, " | ")
		for i, column := range columns {
			columns[i] = unescape.Replace(strings.TrimSpace(column))
		}
		t.Run(columns[0]+" to "+columns[1], func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(good, columns[0]), qt.IsTrue)
			_, err := loader.Parse("entry.toml", []byte(strings.Replace(good, columns[0], columns[1], 1)))
			var faults *loader.Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			var got []string
			for _, fault := range faults.All() {
				c.Check(fault.File(), qt.Equals, "entry.toml")
				got = append(got, fmt.Sprintf("%d: %s: %s", fault.Line(), fault.Key(), fault.Message()))
			}
			c.Check(strings.Join(got, ";; "), qt.Equals, columns[2])
		})
	}
}

func TestAllFaultsInOneRun(t *testing.T) {
	_, err := loader.Parse("entry.toml", nil)
	qt.Check(t, err, qt.ErrorMatches, `entry.toml:1: entry.callers: missing
entry.toml:1: entry.dataCentre: missing
entry.toml:1: entry.name: missing
entry.toml:1: entry.operators: missing
entry.toml:1: entry.peers: missing
entry.toml:1: peers.secret: missing
entry.toml:1: platform.addresses: missing`)
}

func TestLoadOpensFiles(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "entry.toml")
	_, err := loader.Load(path)
	c.Check(err, qt.ErrorMatches, `.*entry.toml:1: cannot be read: .*`)
	const files = "\n[tls]\ncertificate = 'testdata/entry.toml'\nkey = 'testdata/entry.toml'\nauthority = '%s'\n"
	good := readGood(t)
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, good+files, "testdata/none"), 0o600), qt.IsNil)
	_, err = loader.Load(path)
	c.Check(err, qt.ErrorMatches, `.*:36: tls.authority: open testdata/none: .*`)
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, good+files, "testdata/entry.toml"), 0o600), qt.IsNil)
	settings, err := loader.Load(path)
	c.Assert(err, qt.IsNil)
	_, ok := settings.TLS()
	c.Check(ok, qt.IsTrue)
}

func TestSettings(t *testing.T) {
	c := qt.New(t)
	settings, err := loader.Parse("entry.toml", []byte(readGood(t)))
	c.Assert(err, qt.IsNil)
	c.Check(settings.Platform().Addresses(), qt.DeepEquals, []string{"http://127.0.0.1:9000"})
	c.Check(settings.Peers().Seeds(), qt.DeepEquals, []string{"127.0.0.1:8091"})
	c.Check(settings.Terms().Renewal(), qt.Equals, 2*time.Second)
	c.Check(settings.Terms().Heartbeat(), qt.Equals, loader.DefaultHeartbeat)
	c.Check(settings.Log().Format(), qt.Equals, loader.FormatText)
	c.Check(settings.Operators()[1].Name(), qt.Equals, "parcelguard")
	_, ok := settings.TLS()
	c.Check(ok, qt.IsFalse)
}

func FuzzParse(f *testing.F) {
	good := readGood(f)
	f.Add(good)
	f.Add("[entry]\nname = 1\n[[entry]]")
	f.Add("a.\"b c\" = '''\n'''\n[[a.b]]\n[a.b.c]\n")
	f.Add("terms = {lease = \"1s\", renewal = []}")
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := loader.Parse("f", []byte(text))
		if err == nil {
			terms := settings.Terms()
			qt.Check(t, terms.Lease() >= 2*terms.Renewal(), qt.IsTrue)
			qt.Check(t, len(settings.Platform().Addresses()) > 0, qt.IsTrue)
			return
		}
		var faults *loader.Faults
		qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
		for _, fault := range faults.All() {
			qt.Check(t, fault.Line() >= 1 && fault.Line() <= strings.Count(text, "\n")+1, qt.IsTrue, qt.Commentf("%v", fault))
		}
	})
}
