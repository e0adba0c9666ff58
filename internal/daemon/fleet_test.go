package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// fixture is a zone of four workers and three entry hosts in this process,
// whose daemons can be partitioned one by one. Its configuration text has two
// services, ascent and the spare pool desk.
type fixture struct {
	*testbed
	version uint64 // of the configuration text
	logs    logBuffer

	mu         sync.Mutex
	cut        map[string]bool           // incarnations without links
	names      map[netip.AddrPort]string // incarnations by peer address
	conns      map[net.Conn][2]string    // incarnations of both daemons of each link
	active     map[netip.AddrPort]string // running task by control address
	starts     []string                  // tasks that were started
	badHost    string                    // host on which every start fails
	allowStops chan struct{}             // Stop blocks until it is closed; set before the daemons start
	runs       standin.Runners           // of the platform stand-in
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s, err := system.Start(t.Context(), []system.Zone{{Name: "a", Workers: 4, Entries: []string{"a1", "a2", "a3"}}}, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	fx := &fixture{
		testbed: &testbed{t, s, &etcd.Client{URL: s.URL}}, runs: s.Platform.Runners,
		cut: make(map[string]bool), names: make(map[netip.AddrPort]string), conns: make(map[net.Conn][2]string),
		active: make(map[netip.AddrPort]string), allowStops: make(chan struct{}),
	}
	close(fx.allowStops)
	s.Platform.Runners = fx
	return fx
}

// Start implements the platform stand-in's Runners. It checks that a host never
// runs two tasks.
func (fx *fixture) Start(ctx context.Context, control netip.AddrPort, id, service string, slots int) (netip.AddrPort, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if other := fx.active[control]; other != "" {
		fx.Errorf("task %s started while %s runs on its host", id, other)
	}
	fx.starts = append(fx.starts, id+" "+service)
	if fx.badHost != "" && strings.HasPrefix(id, fx.badHost+".") {
		return netip.AddrPort{}, errors.New("start failed on bad worker")
	}
	fx.active[control] = id
	return fx.runs.Start(ctx, control, id, service, slots)
}

// Stop implements the platform stand-in's Runners. It blocks until allowStops
// is closed.
func (fx *fixture) Stop(ctx context.Context, control netip.AddrPort, id string) error {
	select {
	case <-fx.allowStops:
	case <-ctx.Done():
		return ctx.Err()
	}
	err := fx.runs.Stop(ctx, control, id)
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if err == nil && fx.active[control] == id {
		delete(fx.active, control)
	}
	return err
}

// started returns how often a host started a task of a service.
func (fx *fixture) started(host, service string) int {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	n := 0
	for _, s := range fx.starts {
		if strings.HasPrefix(s, host+".") && strings.HasSuffix(s, " "+service) {
			n++
		}
	}
	return n
}

// daemon starts a daemon whose manager runs at short intervals.
func (fx *fixture) daemon(name string) (*Daemon, func()) {
	fx.Helper()
	return fx.start(Config{Name: name, Zone: "a", Writes: 1000, Reads: 1000, Logger: log.NewLogfmtLogger(&fx.logs)}, func(d *Daemon) {
		m := d.manager
		m.RoundInterval, m.HostsInterval, m.TasksInterval, m.UsageInterval = 20*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond, time.Second
		inc := d.self.Incarnation
		d.platform.Zone = inc // so that CutZones of the stand-in applies to one daemon
		fx.mu.Lock()
		fx.names[d.self.PeerAddr] = inc
		fx.mu.Unlock()
		d.mesh.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) { return fx.dial(ctx, inc, addr) }
	})
}

func (fx *fixture) dial(ctx context.Context, from string, addr netip.AddrPort) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	to := fx.names[addr]
	if fx.cut[from] || fx.cut[to] {
		_ = c.Close()
		return nil, errors.New("daemon partitioned")
	}
	fx.conns[c] = [2]string{from, to}
	return c, nil
}

// isolate disconnects a daemon from the key-value store and, if alone is set,
// also from its peers.
func (fx *fixture) isolate(d *Daemon, alone bool) {
	inc := d.self.Incarnation
	fx.Platform.Faults.Set(faults.Faults{CutZones: []string{inc}})
	if !alone {
		return
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.cut[inc] = true
	for c, ends := range fx.conns {
		if ends[0] == inc || ends[1] == inc {
			_ = c.Close()
		}
	}
}

// edit applies a configuration text with these numbers of runners and an
// optional tail.
func (fx *fixture) edit(ascent, desk int, tail string) {
	fx.Helper()
	src := fmt.Sprintf(`zones = ["a"]
weigh = "rollout"
[[service]]
name = "ascent"
runners = %d
[[service]]
name = "desk"
runners = %d
spare = true
floor = 0
%s`, ascent, desk, tail)
	r, err := operator.Apply(fx.Context(), fx.store, time.Now(), operator.Edit{Text: []byte(src), Author: "test", Base: fx.version})
	if err != nil {
		fx.Fatal(err)
	}
	fx.version = r.Version
}

// awaitView waits until wanted returns true for the view of a daemon.
func (fx *fixture) awaitView(d *Daemon, what string, wanted func(*state.View) bool) {
	fx.Helper()
	for changed := d.tracker.Changed(); !wanted(d.tracker.View()); changed = d.tracker.Changed() {
		select {
		case <-changed:
		case <-fx.Context().Done():
			fx.Fatalf("%s: %s", d.self.Name, what)
		}
	}
}

// awaitStatus waits until wanted returns true for the status page of a daemon.
func (fx *fixture) awaitStatus(d *Daemon, wanted func(*operator.Status) bool) {
	fx.Helper()
	for {
		s, err := operator.GetStatus(fx.Context(), http.DefaultClient, d.self.CallerAddr)
		if err != nil {
			fx.Fatal(err)
		}
		if wanted(s) {
			return
		}
	}
}

// awaitServing waits until a daemon is ready and its map has these numbers of
// serving hosts.
func (fx *fixture) awaitServing(d *Daemon, ascent, desk int) {
	fx.Helper()
	fx.awaitView(d, "hosts do not serve", func(v *state.View) bool {
		return inService(v, "ascent") == ascent && inService(v, "desk") == desk
	})
	fx.awaitStatus(d, func(s *operator.Status) bool { return s.Ready })
}

func inService(v *state.View, pool string) int {
	n := 0
	if m := v.Maps["a"]; m != nil {
		for range m.In(pool, fleet.Serving) {
			n++
		}
	}
	return n
}

// mark sets the state of a host in the platform's host list.
func (fx *fixture) mark(host string, s etcd.HostState) {
	fx.Helper()
	b, err := json.Marshal(standin.HostStateUpdate{State: s})
	if err != nil {
		fx.Fatal(err)
	}
	r, err := http.NewRequestWithContext(fx.Context(), http.MethodPut, fx.URL.JoinPath("hosts", host).String(), bytes.NewReader(b))
	if err != nil {
		fx.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil || res.StatusCode != http.StatusOK {
		fx.Fatalf("set state of host %s: %v %v", host, res, err)
	}
	_ = res.Body.Close()
}

// awaitDraining waits until a daemon's map has a draining host, and returns its
// name.
func (fx *fixture) awaitDraining(d *Daemon) string {
	fx.Helper()
	name := ""
	fx.awaitView(d, "no host drains", func(v *state.View) bool {
		for i := range v.Maps["a"].Hosts {
			if h := &v.Maps["a"].Hosts[i]; h.State == fleet.Draining {
				name = h.Name
			}
		}
		return name != ""
	})
	return name
}
