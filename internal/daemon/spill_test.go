package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// awaitRunners waits until a daemon's view has the desired runners of a pool.
func (b *testbed) awaitRunners(d *Daemon, zone, pool string, want int) {
	b.Helper()
	for {
		changed := d.tracker.Changed()
		if countServing(d.tracker.View(), zone, pool) >= want {
			return
		}
		select {
		case <-changed:
		case <-b.Context().Done():
			b.Fatalf("%s has fewer than %d runners of %s in %s", d.self.Name, want, pool, zone)
		}
	}
}

func countServing(v *state.View, zone, pool string) int {
	n := 0
	if m := v.Maps[zone]; m != nil {
		for range m.In(pool, fleet.Serving) {
			n++
		}
	}
	return n
}

// TestSpillToOtherZone guards against work of a full pool that waits while
// another zone has free runners. The other zone advertises its free slots only
// after the zone of the full pool has requested them.
func TestSpillToOtherZone(t *testing.T) {
	b := newTestbed(t)
	a1, _ := b.daemon("a1", "a")
	b1, _ := b.daemon("b1", "b", a1.self.PeerAddr)
	b.awaitVersion(a1, b.apply(0))
	for _, d := range []*Daemon{a1, b1} {
		b.awaitRunners(d, "a", "ascent", 2)
		b.awaitRunners(d, "b", "ascent", 1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	get := func(work string) (backend.Reply, error) {
		var reply backend.Reply
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a1.self.CallerAddr.String()+"/ascent/x", nil)
		if err != nil {
			return reply, err
		}
		r.Header.Set("Work", work)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return reply, err
		}
		defer func() { _ = res.Body.Close() }()
		return reply, json.NewDecoder(res.Body).Decode(&reply)
	}
	// Two runners of 8 slots each are full, and more requests wait.
	for range 20 {
		go func() { _, _ = get("20s") }()
	}
	for {
		reply, err := get("1ms")
		if err == nil && strings.HasPrefix(reply.Host, "b-") {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal("no request was sent to zone b")
		}
	}
}
