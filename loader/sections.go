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

// document checks the whole file.
func (c *checker) document(document map[string]any) {
	names := sectionNames()
	for key := range document {
		if !slices.Contains(names, key) {
			c.fault("", key, "unknown section, it is none of %s", strings.Join(names, ", "))
		}
	}
	c.entry(c.section(document, sectionEntry))
	c.platform(c.section(document, sectionPlatform))
	c.peers(c.section(document, sectionPeers))
	c.terms(c.section(document, sectionTerms))
	c.log(c.section(document, sectionLog))
	c.operators(c.sections(document, sectionOperator))
	c.tls(c.section(document, sectionTLS))
}

func (c *checker) entry(values map[string]any) {
	entry := &c.settings.entry
	c.table(sectionEntry, values, []field{
		required("name", text(&entry.name, isName)),
		required("dataCentre", text(&entry.dataCentre, isName)),
		required("callers", text(&entry.callers, isAddress)),
		required("peers", text(&entry.peers, isReachable)),
		required("operators", text(&entry.operators, isAddress)),
	})
	c.clashes("callers", entry.callers, "peers", entry.peers)
	c.clashes("callers", entry.callers, "operators", entry.operators)
	c.clashes("peers", entry.peers, "operators", entry.operators)
}

// clashes faults the second of two addresses that can't both be listened on.
func (c *checker) clashes(firstKey, first, secondKey, second string) {
	if clash(first, second) {
		c.fault(sectionEntry, secondKey, "%q clashes with %s.%s, %q", second, sectionEntry, firstKey, first)
	}
}

// clash reports whether two addresses are the same, or one stands for all
// addresses of the host with the port of the other.
func clash(a, b string) bool {
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

func (c *checker) platform(values map[string]any) {
	c.table(sectionPlatform, values, []field{
		required("addresses", texts(&c.settings.platform.addresses, 1, readURL)),
	})
	entry := c.settings.entry
	for _, address := range c.settings.platform.addresses {
		_, host, _ := strings.Cut(address, "://")
		for _, own := range []string{entry.callers, entry.peers, entry.operators} {
			if own == host {
				c.fault(sectionPlatform, "addresses", "%q clashes with an address of [%s]", host, sectionEntry)
			}
		}
	}
}

func (c *checker) peers(values map[string]any) {
	peers := &c.settings.peers
	c.table(sectionPeers, values, []field{
		required("secret", text(&peers.secret, isSecret)),
		optional("seeds", texts(&peers.seeds, 0, readAddress)),
	})
}

func (c *checker) terms(values map[string]any) {
	terms := &c.settings.terms
	c.table(sectionTerms, values, []field{
		optional("lease", duration(&terms.lease)),
		optional("renewal", duration(&terms.renewal)),
		optional("heartbeat", duration(&terms.heartbeat)),
		optional("suspect", duration(&terms.suspect)),
		optional("delivery", duration(&terms.delivery)),
		optional("clockRateError", duration(&terms.clockRateError)),
		optional("grace", duration(&terms.grace)),
		optional("stop", duration(&terms.stop)),
	})
	c.ratio("lease", terms.lease, 2, "renewal", terms.renewal)
	c.ratio("suspect", terms.suspect, 2, "heartbeat", terms.heartbeat)
	c.ratio("lease", terms.lease, 1, "clockRateError", terms.clockRateError)
	c.ratio("stop", terms.stop, 1, "grace", terms.grace)
}

// ratio faults a time that is less than so many times another.
func (c *checker) ratio(key string, long time.Duration, times int, shortKey string, short time.Duration) {
	if long >= time.Duration(times)*short {
		return
	}
	c.fault(sectionTerms, key, "%s is less than %d times %s.%s, %s", long, times, sectionTerms, shortKey, short)
}

func (c *checker) log(values map[string]any) {
	log := &c.settings.log
	format := string(log.format)
	c.table(sectionLog, values, []field{
		optional("level", text(&log.level, oneOf("debug", "info", "warn", "error"))),
		optional("format", text(&format, oneOf(string(FormatJSON), string(FormatText)))),
	})
	log.format = Format(format)
}

func (c *checker) operators(tables []map[string]any) {
	for i, values := range tables {
		var operator Operator
		section := fmt.Sprintf("%s[%d]", sectionOperator, i)
		c.table(section, values, []field{
			required("name", text(&operator.name, isName)),
			required("token", text(&operator.token, isSecret)),
		})
		for _, other := range c.settings.operators {
			if operator.name != "" && operator.name == other.name {
				c.fault(section, "name", "%q stands twice", operator.name)
			}
			if operator.token != "" && operator.token == other.token {
				c.fault(section, "token", "is that of another operator too")
			}
		}
		c.settings.operators = append(c.settings.operators, operator)
	}
}

func (c *checker) tls(values map[string]any) {
	if values == nil {
		return
	}
	tls := &c.settings.tls
	c.table(sectionTLS, values, []field{
		required("certificate", text(&tls.certificate, c.isReadable)),
		required("key", text(&tls.key, c.isReadable)),
		required("authority", text(&tls.authority, c.isReadable)),
	})
}

// isReadable refuses a path that cannot be opened, where files are read.
func (c *checker) isReadable(path string) error {
	if !c.readFiles {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return file.Close()
}
