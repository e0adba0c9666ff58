package watch

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// hostsEvery is how often the host list is read. Together with the way through
// the peers it stays below the 3 s after which a leaving host gets no work.
const hostsEvery = time.Second

// markLife is how long a mark stands against a list that has the host as live.
// The list lags, and the server's own refusal may be older than the list.
const markLife = time.Minute

// lister reads the platform's host list.
type lister interface {
	Hosts(ctx context.Context) ([]etcd.Host, error)
}

// LeavingHosts marks the hosts that the platform lists as leaving or gone.
type LeavingHosts struct {
	Hosts  lister
	State  *state.Tracker
	Logger log.Logger
}

// Run reads the list until ctx ends.
func (l *LeavingHosts) Run(ctx context.Context) error {
	tick := time.NewTicker(hostsEvery)
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

// read marks what the list shows, and ends the marks of hosts that stayed after
// all. A list that cannot be read changes nothing.
func (l *LeavingHosts) read(ctx context.Context) {
	hosts, err := l.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	marks := l.State.View().Leaving
	for i := range hosts {
		h := &hosts[i]
		if at, ok := marks[h.Name]; ok && h.State == etcd.Live && now.Sub(at) > markLife {
			l.State.ClearLeaving(h.Name)
			l.Logger.Log("msg", "host takes new work again", "host", h.Name, "zone", h.Zone, "why", "host list says live")
		}
		if h.Role == "worker" && h.State != etcd.Live && l.State.MarkLeaving(h.Name, now) {
			l.Logger.Log("msg", "host takes no new work", "host", h.Name, "zone", h.Zone, "why", "host list says "+string(h.State))
		}
	}
}
