package main

import (
	"fmt"
	"net"
	"regexp"
	"sync"

	"golang.org/x/sync/errgroup"
)

// addressPattern finds addresses in records.
var addressPattern = regexp.MustCompile(`127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}`)

// network carries the connections from entries to entries, workers and the adviser
// through proxies, one for each pair, so that each pair can be cut.
type network struct {
	background *errgroup.Group

	mu sync.Mutex
	// entries holds the names of the entries by their IP.
	entries map[string]string
	ips     map[string]string
	// known holds the addresses that are reached through proxies, and the entry that
	// listens there, which is empty for others.
	known map[string]string
	// proxies holds the proxies by entry and address, and real the address behind each
	// proxy.
	proxies map[[2]string]*proxy
	real    map[string]string
}

func newNetwork(background *errgroup.Group) *network {
	return &network{
		background: background,
		entries:    make(map[string]string),
		ips:        make(map[string]string),
		known:      make(map[string]string),
		proxies:    make(map[[2]string]*proxy),
		real:       make(map[string]string),
	}
}

// addEntry makes the entry known, with its address for peers.
func (n *network) addEntry(name, ip, peerAddress string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[ip] = name
	n.ips[name] = ip
	n.known[peerAddress] = name
}

// entryAt returns the entry with the IP of a remote address.
func (n *network) entryAt(remote string) string {
	host, _, _ := net.SplitHostPort(remote)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries[host]
}

// up makes an address known, and has its proxies listen.
func (n *network) up(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[address] = ""
	for key, p := range n.proxies {
		if key[1] == address {
			p.listen()
		}
	}
}

// down has the proxies of an address refuse connections.
func (n *network) down(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, p := range n.proxies {
		if key[1] == address {
			p.close()
		}
	}
}

// seenFrom returns the address under which an entry reaches an address.
func (n *network) seenFrom(entry, address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	owner, known := n.known[address]
	if !known || owner == entry {
		return address
	}
	key := [2]string{entry, address}
	p := n.proxies[key]
	if p == nil {
		p = newProxy(n.background, n.ips[entry], address)
		n.proxies[key] = p
		n.real[p.address] = address
	}
	return p.address
}

// outbound replaces the addresses of proxies by those behind them.
func (n *network) outbound(data []byte) []byte {
	return addressPattern.ReplaceAllFunc(data, func(address []byte) []byte {
		n.mu.Lock()
		defer n.mu.Unlock()
		if behind, found := n.real[string(address)]; found {
			return []byte(behind)
		}
		return address
	})
}

// inbound replaces addresses by those under which the entry reaches them.
func (n *network) inbound(entry string, data []byte) []byte {
	return addressPattern.ReplaceAllFunc(data, func(address []byte) []byte {
		return []byte(n.seenFrom(entry, string(address)))
	})
}

// setCut cuts the connections from an entry to the addresses that match, or heals them.
func (n *network) setCut(entry string, matches func(address, peer string) bool, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, p := range n.proxies {
		if key[0] == entry && matches(key[1], n.known[key[1]]) {
			p.setCut(cut)
		}
	}
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.setCut(false)
	}
}

// proxy forwards the connections of one entry to one address.
type proxy struct {
	background        *errgroup.Group
	address, from, to string

	mu       sync.Mutex
	listener net.Listener
	// healed is nil unless the proxy is cut. It is closed at the end of the cut.
	healed chan struct{}
}

func newProxy(background *errgroup.Group, from, to string) *proxy {
	p := &proxy{
		background: background,
		from:       from,
		to:         to,
	}
	p.listen()
	return p
}

// proxyIP returns the IP on which the proxies of an entry listen. On the entry's own IP, its
// connections could take the port of a proxy that does not listen for a time.
func proxyIP(entry string) string {
	ip := net.ParseIP(entry).To4()
	ip[3] += 100
	return ip.String()
}

func (p *proxy) listen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return
	}
	address := p.address
	if address == "" {
		address = proxyIP(p.from) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun(fmt.Sprintf("listen for a proxy at %s", address), err)
	}
	p.listener = listener
	p.address = listener.Addr().String()
	p.background.Go(func() error {
		p.serve(listener)
		return nil
	})
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.healed == nil:
		p.healed = make(chan struct{})
	case !cut && p.healed != nil:
		close(p.healed)
		p.healed = nil
	}
}

// pass waits until the proxy is not cut.
func (p *proxy) pass() {
	for {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

func (p *proxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.background.Go(func() error {
			p.forward(conn)
			return nil
		})
	}
}

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	// The connection is to whoever listens there now, also if the proxy is cut.
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(p.from),
		},
	}
	behind, err := dialer.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer behind.Close()
	var group errgroup.Group
	copyAll := func(to, from net.Conn) error {
		// The end of one direction ends the other.
		defer conn.Close()
		defer behind.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.pass()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return err
				}
			}
			if err != nil {
				return err
			}
		}
	}
	group.Go(func() error { return copyAll(behind, conn) })
	group.Go(func() error { return copyAll(conn, behind) })
	// A connection that ends with an error has ended.
	_ = group.Wait()
}
