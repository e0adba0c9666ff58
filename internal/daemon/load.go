package daemon

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
)

const (
	loadInterval      = 100 * time.Millisecond
	freeSlotsInterval = time.Second
	// loadRate bounds the bytes per second that load reports may take on all
	// links together. The rest of a daemon's 4 KB/s is reserved for heartbeats,
	// FreeSlots messages and plans. The larger the reports, the less often they
	// are sent.
	loadRate = 2500
	// freeSlotsRate bounds the bytes per second of the reports to other zones.
	// With many pools the reports are sent too rarely to be used, and work stays
	// in its zone.
	freeSlotsRate = 800
	// refreshInterval is the longest time between load reports while there are
	// requests.
	refreshInterval = time.Second
)

// loadReporter reports this daemon's load to the other daemons, and removes the
// load of daemons that are no longer linked.
type loadReporter struct {
	zone  string
	pools *pool.Table
	mesh  *peer.Mesh

	lastLoad []byte
	// nextLoad and nextFreeSlots are the times from which the rate allows another
	// report of that kind.
	nextLoad, nextFreeSlots time.Time
	// due is when a load report is sent although nothing changed.
	due time.Time
	// linked is the set of daemons that were linked at the last check.
	linked map[string]bool
}

func (l *loadReporter) run(ctx context.Context) error {
	load, freeSlots := time.NewTicker(loadInterval), time.NewTicker(freeSlotsInterval)
	defer load.Stop()
	defer freeSlots.Stop()
	for {
		select {
		case now := <-load.C:
			l.removeUnlinked(now)
			l.pools.Expire(now)
			l.reportLoad(now)
		case now := <-freeSlots.C:
			l.reportFreeSlots(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// reportLoad sends the load if it changed or is due, and the rate allows it.
func (l *loadReporter) reportLoad(now time.Time) {
	if now.Before(l.nextLoad) {
		return
	}
	msg := l.pools.Load()
	b, err := cbor.Marshal(msg)
	if err != nil || (string(b) == string(l.lastLoad) && (now.Before(l.due) || len(msg.Pools) == 0)) {
		return
	}
	l.mesh.Broadcast(peer.OwnZone, *msg)
	l.pools.SetOwnLoad(msg, now)
	l.lastLoad, l.due = b, now.Add(refreshInterval)
	l.nextLoad = now.Add(sendTime(l.links(true)*len(b), loadRate))
}

// reportFreeSlots sends the other zones the free slots that they requested, and
// the pools for which this zone requests free slots.
func (l *loadReporter) reportFreeSlots(now time.Time) {
	msg := l.pools.FreeSlots(now)
	if len(msg.Free) == 0 && len(msg.Full) == 0 || now.Before(l.nextFreeSlots) {
		return
	}
	b, err := cbor.Marshal(msg)
	if err != nil {
		return
	}
	l.mesh.Broadcast(peer.OtherZones, msg)
	l.nextFreeSlots = now.Add(sendTime(l.links(false)*len(b), freeSlotsRate))
}

// sendTime returns the time that sending n bytes takes at a rate in bytes per
// second.
func sendTime(n, rate int) time.Duration { return time.Second * time.Duration(n) / time.Duration(rate) }

// links returns the number of links to daemons of the own zone, or to those of
// other zones.
func (l *loadReporter) links(own bool) int {
	n := 0
	for _, p := range l.mesh.Peers() {
		if p.Connected && (p.Daemon.Zone == l.zone) == own {
			n++
		}
	}
	return n
}

// removeUnlinked removes the load of daemons whose link was closed.
func (l *loadReporter) removeUnlinked(now time.Time) {
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

// rank returns this daemon's position among the daemons that may send to a
// zone, which are those of all other zones, and their number.
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
