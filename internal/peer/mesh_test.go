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

// TestSeed guards that a daemon started without the platform learns of all
// others from one seed, and keeps one link per pair.
func TestSeed(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		var ds []*daemon
		for i := range 9 {
			ds = append(ds, n.start(t, i, fmt.Sprint("zone", i/3), addr(0)))
		}
		pass(5 * time.Second)
		for i, d := range ds {
			got := d.mesh.Peers()
			if len(got) != 8 {
				t.Errorf("daemon %d knows %d others, want 8", i, len(got))
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
				t.Errorf("daemon %d has %d links in its zone and reaches zones %v", i, own, zones)
			}
		}
		last := n.start(t, 9, "zone2", addr(4))
		if err := last.mesh.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		pass(5 * time.Second)
		if got := len(last.mesh.Peers()); got != 9 {
			t.Errorf("the last daemon knows %d others, want 9", got)
		}
		pass(2 * time.Minute) // links that only the start needed have closed
		if got := ds[0].connected(); len(got) > 5 {
			t.Errorf("the seed keeps links to %v", got)
		}
	})
}

// TestPlanThroughPeers guards that the newest plan and map reach daemons that
// hear of them only from peers, that an older plan does not replace them, and
// that Sync does not end before a restarted daemon has them.
func TestPlanThroughPeers(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := n.start(t, 1, "a"), n.start(t, 2, "b", addr(1))
		pass(time.Second)
		a.offer(t, 7)
		a.keeper.UpdateMap(&fleet.Map{Zone: "a", Version: 3, Hosts: []fleet.Host{{Name: "h", State: fleet.Serving, Addr: addr(9), Since: time.Now()}}})
		a.keeper.MarkLeaving("gone", time.Now())
		pass(500 * time.Millisecond) // less than a heartbeat
		v := b.keeper.View()
		if v.Plan != 7 || v.Maps["a"] == nil || v.Maps["a"].Hosts[0].Addr != addr(9) || len(v.Leaving) != 1 {
			t.Fatalf("the peer has %+v", v)
		}
		old := &state.Tracker{}
		old.MarkLeaving("h", time.Now().Add(-time.Hour)) // a runner has started there since
		if ok, err := old.UpdatePlan(5, []byte(plan)); !ok || err != nil {
			t.Fatal(ok, err)
		}
		c := n.startWith(t, old, 3, "c", addr(2), addr(200)) // nothing listens at the second seed
		if err := c.mesh.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		if v := c.keeper.View(); v.Plan != 7 || v.Maps["a"].Version != 3 {
			t.Errorf("after Sync the plan is %d", v.Plan)
		}
		pass(5 * time.Second)
		if l := a.keeper.View().Leaving; len(l) != 1 {
			t.Errorf("an obsolete mark was accepted: %v", l)
		}
		if a, b := a.keeper.View().Plan, b.keeper.View().Plan; a != 7 || b != 7 {
			t.Errorf("an older plan replaced 7: %d, %d", a, b)
		}
		if s := b.mesh.Peers(); len(s) != 2 || s[0].Plan != 7 || s[0].Maps["a"] != 3 || time.Since(s[0].LastHeartbeat) > time.Second {
			t.Errorf("b reports %+v", s)
		}
	})
}

// TestCut guards against lost versions after partitions: whichever side
// changes first, and whether it changes before or after the other, both end
// with the newest plan. A silent cut must end the link within its timeout.
func TestCut(t *testing.T) {
	for _, newest := range []int{0, 1} {
		for _, early := range []bool{true, false} {
			bubble(t, func(t *testing.T, n *network) {
				ds := []*daemon{n.start(t, 1, "a"), n.start(t, 2, "b", addr(1)), n.start(t, 3, "b", addr(1))}
				pass(3 * time.Second)
				n.cut(ds[0], ds[1], true)
				n.cut(ds[0], ds[2], true)
				pass(4 * time.Second)
				if got := ds[0].connected(); len(got) != 0 {
					t.Fatalf("links over the cut: %v", got)
				}
				if !early {
					ds[1-newest].offer(t, 8)
				}
				ds[newest].offer(t, 9)
				if early {
					ds[1-newest].offer(t, 8)
				}
				n.cut(ds[0], ds[1+newest], false) // one of the two paths heals
				pass(20 * time.Second)
				for i, d := range ds {
					if got := d.keeper.View().Plan; got != 9 {
						t.Errorf("newest at %d, early %v: daemon %d has plan %d", newest, early, i, got)
					}
				}
			})
		}
	}
}

// TestIncarnation guards against two links to one name: a newer incarnation
// replaces the older, whose messages must not be mixed with its own.
func TestIncarnation(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, old := n.start(t, 1, "a"), n.start(t, 2, "a", addr(1))
		pass(3 * time.Second)
		next := n.start(t, 2, "a", addr(1))
		pass(3 * time.Second)
		s := a.mesh.Peers()
		if len(s) != 1 || s[0].Daemon.Incarnation != next.mesh.Self.Incarnation || !s[0].Connected {
			t.Fatalf("peers: %+v", s)
		}
		if err := a.mesh.Send(old.mesh.Self.Incarnation, peer.Claim{Key: "k"}); err == nil {
			t.Error("a message for a past incarnation was accepted")
		}
	})
}

// TestStop guards that a planned stop is announced and not taken for a fault
// that is worth a dial.
func TestStop(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := n.start(t, 1, "a"), n.start(t, 2, "b", addr(1))
		pass(time.Second)
		b.stop()
		synctest.Wait()
		if got := a.received(); !slices.Equal(got, []peer.Message{peer.Shutdown{Incarnation: b.mesh.Self.Incarnation}}) {
			t.Errorf("received %v", got)
		}
		if got := a.mesh.Peers(); len(got) != 0 {
			t.Errorf("peers after Bye: %v", got)
		}
	})
}

// TestSend guards that a message for a daemon without a link is carried over a
// new one, and that state sent before a link existed is repeated on it.
func TestSend(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		var ds []*daemon
		for i := range 6 {
			ds = append(ds, n.start(t, i, fmt.Sprint("zone", i/3), addr(0)))
		}
		pass(2 * time.Minute)
		from := ds[1]
		var to *daemon
		for _, d := range ds[3:] {
			if !slices.Contains(from.connected(), d.mesh.Self.Name) {
				to = d
			}
		}
		if err := from.mesh.Send(to.mesh.Self.Incarnation, peer.Claim{Call: 1, Key: "k"}); err != nil {
			t.Fatal(err)
		}
		pass(time.Second)
		if got := to.received(); len(got) != 1 || got[0] != (peer.Claim{Call: 1, Key: "k"}) {
			t.Errorf("received %v", got)
		}
		from.mesh.Broadcast(peer.OtherZones, peer.FreeSlots{Free: map[string]int{"x": 1}})
		synctest.Wait()
		rooms := 0
		for _, d := range ds {
			for _, m := range d.received() {
				if _, ok := m.(peer.FreeSlots); ok {
					rooms++
				}
			}
		}
		if rooms != 1 || len(to.received()) != 1 {
			t.Errorf("%d daemons received the room, want the one that the rule chose", rooms)
		}
		from.mesh.Broadcast(peer.OwnZone, peer.Load{Pools: []peer.PoolLoad{{Pool: "x"}}})
		from.mesh.Broadcast(peer.OwnZone, peer.Load{Pools: []peer.PoolLoad{{Pool: "y"}}})
		late := n.start(t, 7, "zone0", addr(0))
		pass(5 * time.Second)
		got := late.received()
		if len(got) != 1 || got[0].(peer.Load).Pools[0].Pool != "y" {
			t.Errorf("the late daemon received %v", got)
		}
	})
}

// stranger greets a daemon as a peer and then sends raw frames.
func (n *network) stranger(t *testing.T, d *daemon, secret []byte) (*wire.Conn, error) {
	e := wire.Endpoint{Self: identity(99, "z", time.Now()), Secret: secret, Dial: n.dialer(addr(99))}
	c, err := e.Connect(t.Context(), d.mesh.Self.Peer)
	if err == nil {
		t.Cleanup(c.Close)
	}
	return c, err
}

// TestFrames guards the receiver: a message type of a later version is
// skipped, and a frame over the limit ends the link.
func TestFrames(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		d := n.start(t, 1, "a")
		synctest.Wait()
		if _, err := n.stranger(t, d, []byte("other")); err == nil {
			t.Error("a wrong secret was accepted")
		}
		c, err := n.stranger(t, d, secret)
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
			t.Errorf("after an unknown type: %v", got)
		}
		_ = c.WriteFrame(t.Context(), append([]byte{0x82, 9, 0x5a, 0, 1, 0, 0}, bytes.Repeat([]byte{1}, 1<<16)...))
		synctest.Wait()
		if got := d.connected(); len(got) != 0 {
			t.Errorf("the link outlived an oversized frame: %v", got)
		}
	})
}

// TestLoopback guards that a link without a secret is refused unless both ends
// are loopback addresses.
func TestLoopback(t *testing.T) {
	e := wire.Endpoint{}
	if _, err := e.Connect(context.Background(), netip.MustParseAddrPort("192.0.2.1:7000")); err == nil {
		t.Error("connected without a secret")
	}
}

// TestSlowPeer guards that a peer that reads nothing neither blocks a
// broadcast nor holds messages without bound.
func TestSlowPeer(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		d := n.start(t, 1, "z")
		synctest.Wait()
		if _, err := n.stranger(t, d, secret); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for range 2000 {
			d.mesh.Broadcast(peer.OwnZone, peer.Report{Key: "k"})
		}
		synctest.Wait()
		if got := d.connected(); len(got) != 0 {
			t.Errorf("the link is up with a full queue: %v", got)
		}
	})
}
