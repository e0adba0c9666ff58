package watch

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// hostListInterval is the interval between reads of the host list. Together with
// the delivery to peers it stays below the 3 s after which a leaving host must get
// no more work.
const hostListInterval = time.Second

// markLifetime is how long a leaving mark is kept while the list shows the host as
// live. The list lags, so it may still miss that the host is leaving. The mark may
// also be the outdated one: a rejection by the server that is older than the list.
const markLifetime = time.Minute

// lister reads the platform's host list.
type lister interface {
	Hosts(ctx context.Context) ([]etcd.Host, error)
}

// LeavingHosts marks hosts that the platform lists as leaving or gone.
type LeavingHosts struct {
	Hosts  lister
	State  *state.Tracker
	Logger log.Logger
}

// Run reads the host list until ctx ends.
func (l *LeavingHosts) Run(ctx context.Context) error {
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for {
		l.read(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// read marks the leaving hosts of the list, and removes the marks of hosts that
// are live after markLifetime. If the list cannot be read, nothing changes.
func (l *LeavingHosts) read(ctx context.Context) {
	hosts, err := l.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	marks := l.State.View().Leaving
	for i := range hosts {
		h := &hosts[i]
		if at, ok := marks[h.Name]; ok && h.State == etcd.Live && now.Sub(at) > markLifetime {
			l.State.ClearLeaving(h.Name)
			l.Logger.Log("msg", "host no longer leaving", "host", h.Name, "zone", h.Zone, "why", "host list says live")
		}
		if h.Role == "worker" && h.State != etcd.Live && l.State.MarkLeaving(h.Name, now) {
			l.Logger.Log("msg", "host leaving", "host", h.Name, "zone", h.Zone, "why", "host list says "+string(h.State))
		}
	}
}
