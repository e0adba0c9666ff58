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

// Budgets follows, for the zone's manager, which services have used up their
// availability budget of the day.
type Budgets struct {
	Store etcd.Store
	State *state.Tracker
	// IsManager reports whether this daemon manages its zone; others read nothing.
	IsManager func() bool
	Logger    log.Logger

	spent atomic.Pointer[map[string]bool]
}

// Exhausted returns the services whose budget is used up.
func (b *Budgets) Exhausted() map[string]bool {
	if m := b.spent.Load(); m != nil {
		return *m
	}
	return nil
}

// Run reads the totals as often as daemons write them.
func (b *Budgets) Run(ctx context.Context) error {
	tick := time.NewTicker(totals.FlushEvery)
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

// read sums the totals of today. Totals that cannot be read change nothing: no
// host is drained then either.
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
	spent := totals.ExhaustedBudgets(t, rows)
	if !maps.Equal(spent, b.Exhausted()) {
		names := slices.Sorted(maps.Keys(spent))
		b.Logger.Log("msg", "budgets changed, planned work waits for services without one", "day", day, "spent", strings.Join(names, ","))
	}
	b.spent.Store(&spent)
}
