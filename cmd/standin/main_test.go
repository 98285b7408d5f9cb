package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"standin": func() { os.Exit(run()) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
	})
}

// startStandIn runs a stand-in until the context ends, and returns its address.
func startStandIn(ctx context.Context, t *testing.T, group *errgroup.Group, args ...string) string {
	reader, writer := io.Pipe()
	cmd := command()
	cmd.Writer = writer
	group.Go(func() error {
		defer writer.Close()
		return cmd.Run(ctx, append([]string{"standin"}, args...))
	})
	lines := bufio.NewReader(reader)
	address, err := lines.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	group.Go(func() error {
		_, err := io.Copy(io.Discard, lines)
		return err
	})
	return strings.TrimSpace(address)
}

func TestStandInsTogether(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	platform := startStandIn(ctx, t, &group, "platform", "--host-lag", "0s")
	minion := startStandIn(ctx, t, &group, "minion", "--platform", platform, "--name", "m1", "--data-centre", "a", "--service", "field-desk")
	startStandIn(ctx, t, &group, "worker", "--platform", platform, "--name", "w", "--data-centre", "a", "--cores", "1.5", "--memory", "3", "--count", "4", "--per-rack", "3")
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var hosts []connector.Host
	for len(hosts) < 5 {
		var err error
		hosts, err = connector.NewPlatform(client, "http://"+platform).List(t.Context())
		c.Assert(err, qt.IsNil)
	}
	c.Check(hosts[0].Address, qt.Equals, minion)
	c.Check([]string{hosts[1].Name, hosts[4].Name, hosts[4].Rack}, qt.DeepEquals, []string{"w-1", "w-4", "rack-2"})
	c.Check(hosts[0].Slots, qt.Equals, 8)
	c.Check(hosts[1].Capacity.MilliCores(), qt.Equals, int64(1500))
	c.Check(hosts[1].Capacity.Bytes(), qt.Equals, int64(3<<20))

	var text strings.Builder
	load := command()
	load.Writer = &text
	args := []string{"standin", "load", "--to", minion, "--service", "field-desk", "--rate", "100", "--for", "100ms", "--in-flight", "4", "--output", "json"}
	c.Assert(load.Run(t.Context(), args), qt.IsNil)
	var report struct {
		Due int `json:"due"`
	}
	c.Assert(json.Unmarshal([]byte(text.String()), &report), qt.IsNil)
	c.Check(report.Due, qt.Equals, 10)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}
