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

const source = `zones = ["a", "b"]
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

// bed is a platform stand-in with daemons in this process.
type bed struct {
	*testing.T
	*system.System
	store *etcd.Client
}

func newBed(t *testing.T) *bed {
	t.Helper()
	s, err := system.Start(t.Context(), []system.Zone{
		{Name: "a", Workers: 3, Entries: []string{"a1", "a2"}}, {Name: "b", Workers: 2, Entries: []string{"b1"}},
	}, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return &bed{t, s, &etcd.Client{URL: s.URL}}
}

// daemon starts a daemon. The returned function makes its planned stop.
func (b *bed) daemon(name, zone string, seeds ...netip.AddrPort) (*Daemon, func()) {
	b.Helper()
	return b.start(Config{Name: name, Zone: zone, Seeds: seeds}, func(*Daemon) {})
}

// start starts a daemon that prepare may change before it runs.
func (b *bed) start(cfg Config, prepare func(*Daemon)) (*Daemon, func()) {
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

// apply stores the next version of the text.
func (b *bed) apply(base uint64) uint64 {
	b.Helper()
	r, err := operator.Apply(b.Context(), b.store, time.Now(), operator.Edit{Text: []byte(source), Author: "test", Base: base})
	if err != nil {
		b.Fatal(err)
	}
	return r.Version
}

// await waits until a daemon has the version in force. The test's own time
// limit bounds it.
func (b *bed) await(d *Daemon, version uint64) {
	b.Helper()
	for {
		changed := d.keeper.Changed()
		if d.keeper.View().Plan >= version {
			return
		}
		select {
		case <-changed:
		case <-b.Context().Done():
			b.Fatalf("%s: text %d never came in force", d.self.Name, version)
		}
	}
}

// TestCutZoneGetsTextFromPeers guards that a zone that cannot reach the
// platform still gets an accepted text, through the other zones' daemons.
func TestCutZoneGetsTextFromPeers(t *testing.T) {
	b := newBed(t)
	a1, _ := b.daemon("a1", "a")
	// The seed lets the two know each other however early the zone is cut off.
	b1, _ := b.daemon("b1", "b", a1.self.Peer)
	first := b.apply(0)
	b.await(a1, first)
	b.await(b1, first)
	b.Platform.Faults.Set(faults.Faults{Cut: []string{"b"}})
	b.await(b1, b.apply(first))
}

// TestRestartInOutage guards that a daemon started while the platform is down gets
// the newest text from a peer, and that the text does not fall back when the
// platform returns with an older state.
func TestRestartInOutage(t *testing.T) {
	b := newBed(t)
	a1, _ := b.daemon("a1", "a")
	first := b.apply(0)
	_, revision, err := operator.ReadText(t.Context(), b.store)
	if err != nil {
		t.Fatal(err)
	}
	second := b.apply(first)
	b.await(a1, second)
	b.Platform.Faults.Set(faults.Faults{Cut: []string{"a", "b"}})
	started, stop := b.daemon("a2", "a", a1.self.Peer)
	b.await(started, second)

	b.Platform.Faults.Set(faults.Faults{Revision: revision})
	first2 := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = started.follower.Run(ctx, first2) }()
	<-first2 // the older state has been read
	if got := started.keeper.View().Plan; got != second {
		t.Errorf("text %d is in force after the platform fell back, want %d", got, second)
	}
	stop()
}

// TestHealedInEitherOrder guards that daemons which were cut off from the
// platform and from each other agree on the newest text whichever is healed
// first.
func TestHealedInEitherOrder(t *testing.T) {
	b := newBed(t)
	a1, _ := b.daemon("a1", "a")
	b.await(a1, b.apply(0))
	b.Platform.Faults.Set(faults.Faults{Cut: []string{"a"}})
	second := b.apply(1)
	b1, _ := b.daemon("b1", "b", a1.self.Peer)
	b.await(b1, second) // from the platform; a1 has it through b1 only
	b.await(a1, second)
	b.Platform.Faults.Set(faults.Faults{})
	third := b.apply(second)
	b.await(a1, third)
	b.await(b1, third)
}

// BenchmarkInForce measures the time from an accepted edit until it is in force
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
	text := []byte(strings.Replace(source, `["a", "b"]`, `["a", "b", "c"]`, 1))
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
			for changed := d.keeper.Changed(); d.keeper.View().Plan < version; changed = d.keeper.Changed() {
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
