package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
)

const (
	loadEvery = 100 * time.Millisecond
	roomEvery = time.Second
	// loadRate bounds the bytes a second that load reports may take on all
	// links together; the rest of a daemon's 4 KB/s is left to heartbeats,
	// rooms and plans. Reports become rarer as they grow.
	loadRate = 2500
	// roomRate bounds the bytes a second of the reports to other zones. With
	// many pools they come too rarely to be used, and work stays in its zone.
	roomRate = 800
	// refresh is the longest time between reports while there are requests.
	refresh = time.Second
)

// loads tells the other daemons of this one's load and takes in theirs.
type loads struct {
	zone  string
	pools *pool.Table
	mesh  *peer.Mesh

	last []byte
	// next is when the rate allows another report of each kind.
	nextLoad, nextRoom time.Time
	// due is when a report is sent although nothing changed.
	due time.Time
	// linked holds the daemons that had a link at the last look.
	linked map[string]bool
}

func (l *loads) run(ctx context.Context) error {
	load, room := time.NewTicker(loadEvery), time.NewTicker(roomEvery)
	defer load.Stop()
	defer room.Stop()
	for {
		select {
		case now := <-load.C:
			l.unlinked(now)
			l.pools.Expire(now)
			l.report(now)
		case now := <-room.C:
			l.offer(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// report sends the load if it changed and the rate allows it.
func (l *loads) report(now time.Time) {
	if now.Before(l.nextLoad) {
		return
	}
	msg := l.pools.Load()
	b, err := cbor.Marshal(msg)
	if err != nil || (string(b) == string(l.last) && (now.Before(l.due) || len(msg.Pools) == 0)) {
		return
	}
	l.mesh.Broadcast(peer.OwnZone, *msg)
	l.pools.SetOwnLoad(msg, now)
	l.last, l.due = b, now.Add(refresh)
	l.nextLoad = now.Add(pause(l.links(true)*len(b), loadRate))
}

// offer sends the other zones the free slots that they want, and what this zone
// wants of them.
func (l *loads) offer(now time.Time) {
	msg := l.pools.FreeSlots(now)
	if len(msg.Free) == 0 && len(msg.Full) == 0 || now.Before(l.nextRoom) {
		return
	}
	b, err := cbor.Marshal(msg)
	if err != nil {
		return
	}
	l.mesh.Broadcast(peer.OtherZones, msg)
	l.nextRoom = now.Add(pause(l.links(false)*len(b), roomRate))
}

// pause is the time that a number of bytes takes at a rate in bytes a second.
func pause(n, rate int) time.Duration { return time.Second * time.Duration(n) / time.Duration(rate) }

// links counts the links inside the own zone or to other zones.
func (l *loads) links(own bool) int {
	n := 0
	for _, p := range l.mesh.Peers() {
		if p.Connected && (p.Daemon.Zone == l.zone) == own {
			n++
		}
	}
	return n
}

// unlinked forgets the load of daemons whose link is gone.
func (l *loads) unlinked(now time.Time) {
	linked := make(map[string]bool)
	for _, p := range l.mesh.Peers() {
		if p.Connected {
			linked[p.Daemon.Incarnation] = true
		}
	}
	for incarnation := range l.linked {
		if !linked[incarnation] {
			l.pools.RemoveDaemon(incarnation, now)
		}
	}
	l.linked = linked
}

// rank returns this daemon's place among the daemons that may send to a zone,
// which are those of all other zones.
func rank(self peer.Daemon, peers []peer.Status, zone string) (rank, of int) {
	of = 1
	for _, p := range peers {
		if p.Daemon.Zone == zone || p.Daemon.Incarnation == self.Incarnation {
			continue
		}
		of++
		if p.Daemon.Name < self.Name {
			rank++
		}
	}
	return rank, of
}
