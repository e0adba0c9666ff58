package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/wire"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// TestSeed guards against a daemon that is started during an outage of the
// key-value store and does not discover all others from one seed, and against
// more links than the rule wants.
func TestSeed(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		var ds []*daemon
		for i := range 9 {
			ds = append(ds, n.start(t, i, fmt.Sprint("zone", i/3), addr(0)))
		}
		advance(5 * time.Second)
		for i, d := range ds {
			got := d.mesh.Peers()
			if len(got) != 8 {
				t.Errorf("daemon %d has %d peers, want 8", i, len(got))
			}
			own := 0
			zones := make(map[string]bool)
			for _, s := range got {
				if s.Connected {
					zones[s.Daemon.Zone] = true
					if s.Daemon.Zone == d.mesh.Self.Zone {
						own++
					}
				}
			}
			if own != 2 || len(zones) != 3 {
				t.Errorf("daemon %d has %d links in its zone, want 2, and links to zones %v, want 3", i, own, zones)
			}
		}
		last := n.start(t, 9, "zone2", addr(4))
		if err := last.mesh.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		advance(5 * time.Second)
		if got := len(last.mesh.Peers()); got != 9 {
			t.Errorf("last daemon has %d peers, want 9", got)
		}
		advance(2 * time.Minute) // links that were only needed at the start are closed
		if got := ds[0].linkedPeers(); len(got) > 5 {
			t.Errorf("seed keeps links to %v, want 5 or fewer", got)
		}
	})
}

// TestPlanThroughPeers guards against daemons that miss the newest plan or map
// when they can get it only from peers, against an older plan that replaces a
// newer one, and against a Sync that ends before a restarted daemon has the
// newest versions.
func TestPlanThroughPeers(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		a, b := n.start(t, 1, "a"), n.start(t, 2, "b", addr(1))
		advance(time.Second)
		a.updatePlan(t, 7)
		a.tracker.UpdateMap(&fleet.Map{Zone: "a", Version: 3, Hosts: []fleet.Host{{Name: "h", State: fleet.Serving, Addr: addr(9), Since: time.Now()}}})
		a.tracker.MarkLeaving("gone", time.Now())
		advance(500 * time.Millisecond) // less than a heartbeat
		v := b.tracker.View()
		if v.PlanVersion != 7 || v.Maps["a"] == nil || v.Maps["a"].Hosts[0].Addr != addr(9) || len(v.Leaving) != 1 {
			t.Fatalf("peer has view %+v", v)
		}
		old := &state.Tracker{}
		old.MarkLeaving("h", time.Now().Add(-time.Hour)) // a runner has started there after the mark
		if ok, err := old.UpdatePlan(5, []byte(plan)); !ok || err != nil {
			t.Fatal(ok, err)
		}
		c := n.startWithState(t, old, 3, "c", addr(2), addr(200)) // no daemon listens at the second seed
		if err := c.mesh.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		if v := c.tracker.View(); v.PlanVersion != 7 || v.Maps["a"].Version != 3 {
			t.Errorf("plan is %d after Sync, want 7, with map version 3", v.PlanVersion)
		}
		advance(5 * time.Second)
		if l := a.tracker.View().Leaving; len(l) != 1 {
			t.Errorf("obsolete leaving mark was accepted: %v", l)
		}
		if a, b := a.tracker.View().PlanVersion, b.tracker.View().PlanVersion; a != 7 || b != 7 {
			t.Errorf("older plan replaced 7: %d, %d", a, b)
		}
		if s := b.mesh.Peers(); len(s) != 2 || s[0].PlanVersion != 7 || s[0].MapVersions["a"] != 3 || time.Since(s[0].LastHeartbeat) > time.Second {
			t.Errorf("peers of b: %+v", s)
		}
	})
}

// TestPartition guards against versions that are lost in a partition: whichever
// side has the newest plan, and whether it changes before or after the other side,
// both must end with the newest plan. A partition in which
// packets are lost without an error must end the link within its timeout.
func TestPartition(t *testing.T) {
	for _, newest := range []int{0, 1} {
		for _, newestFirst := range []bool{true, false} {
			runNetwork(t, func(t *testing.T, n *network) {
				ds := []*daemon{n.start(t, 1, "a"), n.start(t, 2, "b", addr(1)), n.start(t, 3, "b", addr(1))}
				advance(3 * time.Second)
				n.partition(ds[0], ds[1], true)
				n.partition(ds[0], ds[2], true)
				advance(4 * time.Second)
				if got := ds[0].linkedPeers(); len(got) != 0 {
					t.Fatalf("links across the partition: %v", got)
				}
				if !newestFirst {
					ds[1-newest].updatePlan(t, 8)
				}
				ds[newest].updatePlan(t, 9)
				if newestFirst {
					ds[1-newest].updatePlan(t, 8)
				}
				n.partition(ds[0], ds[1+newest], false) // one of the two paths works again
				advance(20 * time.Second)
				for i, d := range ds {
					if got := d.tracker.View().PlanVersion; got != 9 {
						t.Errorf("newest at %d, changed first %v: daemon %d has plan %d", newest, newestFirst, i, got)
					}
				}
			})
		}
	}
}

// TestIncarnation guards against two links to one name: a newer incarnation
// must replace the older one, and a message for the older one must be rejected.
func TestIncarnation(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		a, old := n.start(t, 1, "a"), n.start(t, 2, "a", addr(1))
		advance(3 * time.Second)
		next := n.start(t, 2, "a", addr(1))
		advance(3 * time.Second)
		s := a.mesh.Peers()
		if len(s) != 1 || s[0].Daemon.Incarnation != next.mesh.Self.Incarnation || !s[0].Connected {
			t.Fatalf("peers: %+v", s)
		}
		if err := a.mesh.Send(old.mesh.Self.Incarnation, peer.Claim{Key: "k"}); err == nil {
			t.Error("message for an older incarnation was accepted")
		}
	})
}

// TestStop guards against a planned stop that is not announced, or that peers
// treat as a failure and dial again.
func TestStop(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		a, b := n.start(t, 1, "a"), n.start(t, 2, "b", addr(1))
		advance(time.Second)
		b.stop()
		synctest.Wait()
		if got := a.received(); !slices.Equal(got, []peer.Message{peer.Shutdown{Incarnation: b.mesh.Self.Incarnation}}) {
			t.Errorf("received %v", got)
		}
		if got := a.mesh.Peers(); len(got) != 0 {
			t.Errorf("peers after Shutdown: %v", got)
		}
	})
}

// TestSend guards against a message that is lost because there is no link to
// its receiver: a new link must be opened for it. State that was sent before a
// link existed must be repeated on it.
func TestSend(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		var ds []*daemon
		for i := range 6 {
			ds = append(ds, n.start(t, i, fmt.Sprint("zone", i/3), addr(0)))
		}
		advance(2 * time.Minute)
		from := ds[1]
		var to *daemon
		for _, d := range ds[3:] {
			if !slices.Contains(from.linkedPeers(), d.mesh.Self.Name) {
				to = d
			}
		}
		if err := from.mesh.Send(to.mesh.Self.Incarnation, peer.Claim{Call: 1, Key: "k"}); err != nil {
			t.Fatal(err)
		}
		advance(time.Second)
		if got := to.received(); len(got) != 1 || got[0] != (peer.Claim{Call: 1, Key: "k"}) {
			t.Errorf("received %v", got)
		}
		from.mesh.Broadcast(peer.OtherZones, peer.FreeSlots{Free: map[string]int{"x": 1}})
		synctest.Wait()
		receivers := 0
		for _, d := range ds {
			for _, m := range d.received() {
				if _, ok := m.(peer.FreeSlots); ok {
					receivers++
				}
			}
		}
		if receivers != 1 || len(to.received()) != 1 {
			t.Errorf("%d daemons received the free slots, want only the one that the link rule wants", receivers)
		}
		from.mesh.Broadcast(peer.OwnZone, peer.Load{Pools: []peer.PoolLoad{{Pool: "x"}}})
		from.mesh.Broadcast(peer.OwnZone, peer.Load{Pools: []peer.PoolLoad{{Pool: "y"}}})
		late := n.start(t, 7, "zone0", addr(0))
		advance(5 * time.Second)
		got := late.received()
		if len(got) != 1 || got[0].(peer.Load).Pools[0].Pool != "y" {
			t.Errorf("daemon that linked later received %v, want the newest load only", got)
		}
	})
}

// connectRaw completes the handshake with a daemon as a peer. The test then
// sends raw frames on the connection.
func (n *network) connectRaw(t *testing.T, d *daemon, secret []byte) (*wire.Conn, error) {
	e := wire.Endpoint{Self: identity(99, "z", time.Now()), Secret: secret, Dial: n.dialer(addr(99))}
	c, err := e.Connect(t.Context(), d.mesh.Self.PeerAddr)
	if err == nil {
		t.Cleanup(c.Close)
	}
	return c, err
}

// TestFrames guards against a receiver that fails on a message type of a later
// version, which it must skip, or accepts a frame over the size limit, which
// must end the link.
func TestFrames(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		d := n.start(t, 1, "a")
		synctest.Wait()
		if _, err := n.connectRaw(t, d, []byte("other")); err == nil {
			t.Error("peer with a wrong secret was accepted")
		}
		c, err := n.connectRaw(t, d, secret)
		if err != nil {
			t.Fatal(err)
		}
		go func() { // a pipe has no buffer
			for {
				if _, err := c.Read(t.Context()); err != nil {
					return
				}
			}
		}()
		unknown := []byte{0x82, 0x18, 0xc8, 0xa0} // [200, {}]
		for _, b := range [][]byte{unknown, {0x82, 13, 0xa1, 1, 0x61, 'x'}} {
			if err := c.WriteFrame(t.Context(), b); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if got := d.received(); !slices.Equal(got, []peer.Message{peer.Shutdown{Incarnation: "x"}}) {
			t.Errorf("received after a message of unknown type: %v", got)
		}
		_ = c.WriteFrame(t.Context(), append([]byte{0x82, 9, 0x5a, 0, 1, 0, 0}, bytes.Repeat([]byte{1}, 1<<16)...))
		synctest.Wait()
		if got := d.linkedPeers(); len(got) != 0 {
			t.Errorf("links are open after an oversized frame: %v", got)
		}
	})
}

// TestLoopback guards against a link without a secret between addresses that
// are not loopback addresses.
func TestLoopback(t *testing.T) {
	e := wire.Endpoint{}
	if _, err := e.Connect(context.Background(), netip.MustParseAddrPort("192.0.2.1:7000")); err == nil {
		t.Error("connected without a secret to an address that is not loopback")
	}
}

// TestSlowPeer guards against a peer that reads nothing and blocks a broadcast
// or makes the queue grow without limit.
func TestSlowPeer(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		d := n.start(t, 1, "z")
		synctest.Wait()
		if _, err := n.connectRaw(t, d, secret); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for range 2000 {
			d.mesh.Broadcast(peer.OwnZone, peer.Report{Key: "k"})
		}
		synctest.Wait()
		if got := d.linkedPeers(); len(got) != 0 {
			t.Errorf("links are open with a full queue: %v", got)
		}
	})
}
