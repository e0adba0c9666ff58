package lead_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/runners"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// shrinkingRunners lose all starts on runner r0 before they are carried out,
// until the leader has read that r0 has no capacity left. Starts that were
// prepared before, one for each run, are lost as well.
type shrinkingRunners struct {
	*runners.Runners
	enforce bool

	mu     sync.Mutex
	lost   map[job.Task]bool
	shrunk bool
	late   map[runKey]bool // lost after r0 has shrunk
	over   []runKey        // sent over the capacity of r0
	grown  bool
}

type runKey struct {
	task    job.Task
	attempt int
}

func (r *shrinkingRunners) Start(ctx context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := errors.Wrap(runner.ErrNoResponse, "start lost")
	k := runKey{s.Task, s.Attempt}
	switch {
	case to.ID != "r0" || r.grown:
	case !r.shrunk:
		r.lost[s.Task] = true
		return runner.Reply{}, lost
	case !r.late[k]:
		r.late[k] = true
		return runner.Reply{}, lost
	case r.enforce:
		return runner.Reply{Verdict: runner.NoCapacity}, nil
	default:
		r.over = append(r.over, k)
	}
	return r.Runners.Start(ctx, to, t, s)
}

func (r *shrinkingRunners) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// capacityEntry returns the entry of a runner, of the same start time each time.
func capacityEntry(state string, cpu int) []byte {
	return fmt.Appendf(nil, `{"service":"p","addr":"127.0.0.1:1","zone":"z","machine":"m","state":%q,"labels":["a","r"],`+
		`"capacity":{"cpu":%d,"mem-mb":1000},"born":1}`, state, cpu)
}

// TestCapacityShrinks guards against starts over the capacity of a runner that
// has shrunk since the first start, whose reply was lost, against tasks that wait
// for it while another runner has capacity, and against a runner that stays
// unused after it has grown again.
func TestCapacityShrinks(t *testing.T) {
	for name, enforced := range map[string]bool{"enforced": true, "unenforced": false} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0, 0, 0)
			rs := &shrinkingRunners{Runners: s.runners, enforce: enforced, lost: make(map[job.Task]bool), late: make(map[runKey]bool)}
			shrunk := capacityEntry("ready", 50) // a task needs 100
			c := s.config(0)
			cfg := job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
				[]*job.Service{{Name: "p", EnforcesCapacity: enforced}}, job.Limits{})
			c.CurrentConfig = func() *job.Config { return cfg }
			c.Runners = rs
			c.Registry = lead.Registry{Prefix: platform.RunnersPrefix, Decode: func(key string, value []byte) (*runner.Info, error) {
				if bytes.Equal(value, shrunk) {
					rs.set(func() { rs.shrunk = true })
				}
				return platform.DecodeRunner(key, value)
			}}
			s.store.Put(platform.RunnersPrefix+"r0", capacityEntry("ready", 4000))
			l := lead.New(c)
			s.leaders = append(s.leaders, l)
			s.run(l.Run, l.Done())
			ids := []job.ID{s.submit(1)}
			for end, n := time.Now().Add(limit), 0; n < 3; s.pause() {
				rs.set(func() { n = len(rs.lost) })
				if time.Now().After(end) {
					t.Fatalf("%d tasks were started, want 3", n)
				}
			}
			s.store.Put(platform.RunnersPrefix+"r0", shrunk)
			s.store.Put(platform.RunnersPrefix+"r1", capacityEntry("ready", 4000))
			s.wait(ids)
			rs.set(func() {
				if len(rs.over) > 0 {
					t.Errorf("%v started over the capacity of a runner", rs.over)
				}
				rs.grown = true
			})
			s.store.Put(platform.RunnersPrefix+"r0", capacityEntry("ready", 4000))
			s.store.Put(platform.RunnersPrefix+"r1", capacityEntry("draining", 4000))
			s.wait([]job.ID{s.submit(2)})
			s.checkStartedOnce()
		})
	}
}
