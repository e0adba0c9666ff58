package daemon

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
)

const twoZones = `zones = ["a", "b"]
weigh = "rollout"
[[service]]
name = "ascent"
runners = { a = 2, b = 1 }
[[service]]
name = "desk"
runners = { a = 1, b = 1 }
spare = true
`

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testbed is a platform stand-in with daemons in this process.
type testbed struct {
	*testing.T
	*system.System
	store *etcd.Client
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	s, err := system.Start(t.Context(), []system.Zone{
		{Name: "a", Workers: 3, Entries: []string{"a1", "a2"}}, {Name: "b", Workers: 2, Entries: []string{"b1"}},
	}, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return &testbed{t, s, &etcd.Client{URL: s.URL}}
}

// daemon starts a daemon. The returned function makes its planned stop.
func (b *testbed) daemon(name, zone string, seeds ...netip.AddrPort) (*Daemon, func()) {
	b.Helper()
	return b.start(Config{Name: name, Zone: zone, Seeds: seeds}, func(*Daemon) {})
}

// start starts a daemon. prepare may change it before it runs.
func (b *testbed) start(cfg Config, prepare func(*Daemon)) (*Daemon, func()) {
	b.Helper()
	cfg.Caller, cfg.Peer, cfg.Platform, cfg.StopTimeout = loopback, loopback, b.URL, time.Minute
	d, err := New(b.Context(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	prepare(d)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if err := d.Run(ctx); err != nil {
			b.Errorf("%s: %v", cfg.Name, err)
		}
	}()
	stop := func() {
		cancel()
		<-d.Done()
	}
	b.Cleanup(stop)
	return d, stop
}

// apply stores the next version of the configuration text.
func (b *testbed) apply(base uint64) uint64 {
	b.Helper()
	r, err := operator.Apply(b.Context(), b.store, time.Now(), operator.Edit{Text: []byte(twoZones), Author: "test", Base: base})
	if err != nil {
		b.Fatal(err)
	}
	return r.Version
}

// awaitVersion waits until the version is active at a daemon, bounded by the
// test's own time limit.
func (b *testbed) awaitVersion(d *Daemon, version uint64) {
	b.Helper()
	for {
		changed := d.tracker.Changed()
		if d.tracker.View().PlanVersion >= version {
			return
		}
		select {
		case <-changed:
		case <-b.Context().Done():
			b.Fatalf("%s: configuration text %d was not activated", d.self.Name, version)
		}
	}
}

// TestCutZoneGetsTextFromPeers guards against a zone without connection to the
// key-value store that does not get an accepted configuration text. The daemons
// of other zones must send it.
func TestCutZoneGetsTextFromPeers(t *testing.T) {
	b := newTestbed(t)
	a1, _ := b.daemon("a1", "a")
	// The seed lets the two find each other however early the zone is
	// disconnected.
	b1, _ := b.daemon("b1", "b", a1.self.PeerAddr)
	first := b.apply(0)
	b.awaitVersion(a1, first)
	b.awaitVersion(b1, first)
	b.Platform.Faults.Set(faults.Faults{CutZones: []string{"b"}})
	b.awaitVersion(b1, b.apply(first))
}

// TestRestartInOutage guards against an old configuration text at a daemon that
// is started while the key-value store is down: it must get the newest text
// from a peer, and must not go back to an older text when the key-value store
// returns with an older state.
func TestRestartInOutage(t *testing.T) {
	b := newTestbed(t)
	a1, _ := b.daemon("a1", "a")
	first := b.apply(0)
	_, revision, err := operator.ReadText(t.Context(), b.store)
	if err != nil {
		t.Fatal(err)
	}
	second := b.apply(first)
	b.awaitVersion(a1, second)
	b.Platform.Faults.Set(faults.Faults{CutZones: []string{"a", "b"}})
	started, stop := b.daemon("a2", "a", a1.self.PeerAddr)
	b.awaitVersion(started, second)

	b.Platform.Faults.Set(faults.Faults{Revision: revision})
	olderRead := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = started.watcher.Run(ctx, olderRead) }()
	<-olderRead // the older state has been read
	if got := started.tracker.View().PlanVersion; got != second {
		t.Errorf("configuration text %d is active after the store returned with an older state, want %d", got, second)
	}
	stop()
}

// TestHealedInEitherOrder guards against daemons that disagree on the
// configuration text after a partition. Daemons that were disconnected from the
// key-value store and from each other must agree on the newest text whichever
// connection returns first.
func TestHealedInEitherOrder(t *testing.T) {
	b := newTestbed(t)
	a1, _ := b.daemon("a1", "a")
	b.awaitVersion(a1, b.apply(0))
	b.Platform.Faults.Set(faults.Faults{CutZones: []string{"a"}})
	second := b.apply(1)
	b1, _ := b.daemon("b1", "b", a1.self.PeerAddr)
	b.awaitVersion(b1, second) // from the store; a1 gets it through b1 only
	b.awaitVersion(a1, second)
	b.Platform.Faults.Set(faults.Faults{})
	third := b.apply(second)
	b.awaitVersion(a1, third)
	b.awaitVersion(b1, third)
}

// BenchmarkInForce measures the time from an accepted edit until it is active
// at nine daemons in three zones, in milliseconds.
func BenchmarkInForce(b *testing.B) {
	zones := []system.Zone{{Name: "a", Workers: 3}, {Name: "b", Workers: 2}, {Name: "c", Workers: 2}}
	s, err := system.Start(b.Context(), zones, time.Millisecond)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var daemons []*Daemon
	for _, z := range zones {
		for _, n := range []string{"1", "2", "3"} {
			d, err := New(ctx, Config{Name: z.Name + n, Zone: z.Name, Caller: loopback, Peer: loopback, Platform: s.URL})
			if err != nil {
				b.Fatal(err)
			}
			daemons = append(daemons, d)
			go func() { _ = d.Run(ctx) }()
		}
	}
	defer func() {
		cancel()
		for _, d := range daemons {
			<-d.Done()
		}
	}()
	store := &etcd.Client{URL: s.URL}
	text := []byte(strings.Replace(twoZones, `["a", "b"]`, `["a", "b", "c"]`, 1))
	var took []time.Duration
	version := uint64(0)
	for b.Loop() {
		r, err := operator.Apply(ctx, store, time.Now(), operator.Edit{Text: text, Author: "bench", Base: version})
		if err != nil {
			b.Fatal(err)
		}
		version = r.Version
		accepted := time.Now()
		for _, d := range daemons {
			for changed := d.tracker.Changed(); d.tracker.View().PlanVersion < version; changed = d.tracker.Changed() {
				<-changed
			}
		}
		took = append(took, time.Since(accepted))
	}
	slices.Sort(took)
	at := func(part float64) float64 {
		return took[int(part*float64(len(took)-1))].Seconds() * 1e3
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "max-ms")
}
