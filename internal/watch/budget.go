package watch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

// Budgets determines for the zone's manager which services have exhausted their
// availability budget of the day. Planned work that affects them must wait.
type Budgets struct {
	Store etcd.Store
	State *state.Tracker
	// IsManager reports whether this daemon is the zone's manager; only the
	// manager reads the totals.
	IsManager func() bool
	Logger    log.Logger

	exhausted atomic.Pointer[map[string]bool]
}

// Exhausted returns the services whose budget is exhausted.
func (b *Budgets) Exhausted() map[string]bool {
	if m := b.exhausted.Load(); m != nil {
		return *m
	}
	return nil
}

// Run reads the totals at the interval at which daemons write them, until ctx
// ends.
func (b *Budgets) Run(ctx context.Context) error {
	tick := time.NewTicker(totals.FlushInterval)
	defer tick.Stop()
	for {
		if b.IsManager() {
			b.read(ctx, time.Now())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// read sums the totals of today. If they cannot be read, the previous result stays
// active: no host is drained during such a failure either.
func (b *Budgets) read(ctx context.Context, now time.Time) {
	t := b.State.View().Text
	if t == nil {
		return
	}
	day := totals.DayOf(now, t.Clock)
	rows, err := totals.ReadDay(ctx, b.Store, day)
	if err != nil {
		return
	}
	exhausted := totals.ExhaustedBudgets(t, rows)
	if !maps.Equal(exhausted, b.Exhausted()) {
		names := slices.Sorted(maps.Keys(exhausted))
		b.Logger.Log("msg", "exhausted budgets changed, planned work deferred for services without budget", "day", day, "spent", strings.Join(names, ","))
	}
	b.exhausted.Store(&exhausted)
}
