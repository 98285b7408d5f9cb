package loader

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// The names of the sections.
const (
	sectionEntry    = "entry"
	sectionPlatform = "platform"
	sectionPeers    = "peers"
	sectionTerms    = "terms"
	sectionLog      = "log"
	sectionOperator = "operator"
	sectionTLS      = "tls"
)

func sectionNames() []string {
	return []string{
		sectionEntry,
		sectionPlatform,
		sectionPeers,
		sectionTerms,
		sectionLog,
		sectionOperator,
		sectionTLS,
	}
}

// checkDocument validates the whole file.
func (c *checker) checkDocument(document map[string]any) {
	names := sectionNames()
	for key := range document {
		if !slices.Contains(names, key) {
			c.addFault("", key, "unknown section, it is none of %s", strings.Join(names, ", "))
		}
	}
	c.checkEntry(c.tableNamed(document, sectionEntry))
	c.checkPlatform(c.tableNamed(document, sectionPlatform))
	c.checkPeers(c.tableNamed(document, sectionPeers))
	c.checkTerms(c.tableNamed(document, sectionTerms))
	c.checkLog(c.tableNamed(document, sectionLog))
	c.checkOperators(c.tablesNamed(document, sectionOperator))
	c.checkTLS(c.tableNamed(document, sectionTLS))
}

func (c *checker) checkEntry(values map[string]any) {
	entry := &c.settings.entry
	c.checkTable(sectionEntry, values, []field{
		required("name", setString(&entry.name, validateName)),
		required("dataCentre", setString(&entry.dataCentre, validateName)),
		required("callers", setString(&entry.callers, validateAddress)),
		required("peers", setString(&entry.peers, validateReachable)),
		required("operators", setString(&entry.operators, validateAddress)),
	})
	c.checkClash("callers", entry.callers, "peers", entry.peers)
	c.checkClash("callers", entry.callers, "operators", entry.operators)
	c.checkClash("peers", entry.peers, "operators", entry.operators)
}

// checkClash adds a fault at the second of two addresses if the process cannot
// listen on both.
func (c *checker) checkClash(firstKey, first, secondKey, second string) {
	if addressesClash(first, second) {
		c.addFault(sectionEntry, secondKey, "%q clashes with %s.%s, %q", second, sectionEntry, firstKey, first)
	}
}

// addressesClash reports whether two addresses have the same port other than 0,
// and either the same IP address or one that is unspecified.
func addressesClash(a, b string) bool {
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	if err != nil || first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr().Unmap() == second.Addr().Unmap() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func (c *checker) checkPlatform(values map[string]any) {
	c.checkTable(sectionPlatform, values, []field{
		required("addresses", setStrings(&c.settings.platform.addresses, 1, parseURL)),
	})
	entry := c.settings.entry
	for _, address := range c.settings.platform.addresses {
		_, host, _ := strings.Cut(address, "://")
		for _, local := range []string{entry.callers, entry.peers, entry.operators} {
			if local == host {
				c.addFault(sectionPlatform, "addresses", "%q clashes with an address of [%s]", host, sectionEntry)
			}
		}
	}
}

func (c *checker) checkPeers(values map[string]any) {
	peers := &c.settings.peers
	c.checkTable(sectionPeers, values, []field{
		required("secret", setString(&peers.secret, validateSecret)),
		optional("seeds", setStrings(&peers.seeds, 0, parseAddress)),
	})
}

func (c *checker) checkTerms(values map[string]any) {
	terms := &c.settings.terms
	c.checkTable(sectionTerms, values, []field{
		optional("lease", setDuration(&terms.lease)),
		optional("renewal", setDuration(&terms.renewal)),
		optional("heartbeat", setDuration(&terms.heartbeat)),
		optional("suspect", setDuration(&terms.suspect)),
		optional("delivery", setDuration(&terms.delivery)),
		optional("clockRateError", setDuration(&terms.clockRateError)),
		optional("grace", setDuration(&terms.grace)),
		optional("stop", setDuration(&terms.stop)),
	})
	c.checkRatio("lease", terms.lease, 2, "renewal", terms.renewal)
	c.checkRatio("suspect", terms.suspect, 2, "heartbeat", terms.heartbeat)
	c.checkRatio("lease", terms.lease, 1, "clockRateError", terms.clockRateError)
	c.checkRatio("stop", terms.stop, 1, "grace", terms.grace)
}

// checkRatio adds a fault if a duration is less than factor times another.
func (c *checker) checkRatio(key string, value time.Duration, factor int, otherKey string, other time.Duration) {
	if value >= time.Duration(factor)*other {
		return
	}
	c.addFault(sectionTerms, key, "%s is less than %d times %s.%s, %s", value, factor, sectionTerms, otherKey, other)
}

func (c *checker) checkLog(values map[string]any) {
	log := &c.settings.log
	format := string(log.format)
	c.checkTable(sectionLog, values, []field{
		optional("level", setString(&log.level, oneOf("debug", "info", "warn", "error"))),
		optional("format", setString(&format, oneOf(string(FormatJSON), string(FormatText)))),
	})
	log.format = Format(format)
}

func (c *checker) checkOperators(tables []map[string]any) {
	for i, values := range tables {
		var operator Operator
		section := fmt.Sprintf("%s[%d]", sectionOperator, i)
		c.checkTable(section, values, []field{
			required("name", setString(&operator.name, validateName)),
			required("token", setString(&operator.token, validateSecret)),
		})
		for _, other := range c.settings.operators {
			if operator.name != "" && operator.name == other.name {
				c.addFault(section, "name", "%q stands twice", operator.name)
			}
			if operator.token != "" && operator.token == other.token {
				c.addFault(section, "token", "is that of another operator too")
			}
		}
		c.settings.operators = append(c.settings.operators, operator)
	}
}

func (c *checker) checkTLS(values map[string]any) {
	if values == nil {
		return
	}
	tls := &c.settings.tls
	c.checkTable(sectionTLS, values, []field{
		required("certificate", setString(&tls.certificate, c.validateReadable)),
		required("key", setString(&tls.key, c.validateReadable)),
		required("authority", setString(&tls.authority, c.validateReadable)),
	})
}

// validateReadable rejects a path that cannot be opened. It accepts any path if the
// checker does not read files.
func (c *checker) validateReadable(path string) error {
	if !c.readFiles {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return file.Close()
}
