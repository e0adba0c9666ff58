package sched

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestLimitsOfRemovedWorkspace guards against a job that loses its workspace or its
// limits when the workspace is removed, or when a new leader has never seen it.
func TestLimitsOfRemovedWorkspace(t *testing.T) {
	const id = "00000000000000d1"
	stored := job.WorkspaceLimits{Weight: 1}
	j := &job.Job{ID: id, Queue: "q", Service: "p", Workspace: "a", Limits: &stored, Steps: []job.Step{{Count: 1}}, Accepted: time.Unix(0, 0)}
	removed := job.NewConfig(3, nil, nil, job.Limits{})
	for name, c := range map[string]struct {
		configs []*job.Config
		want    float64
	}{
		"seen":   {[]*job.Config{job.NewConfig(2, nil, nil, job.Limits{}, &job.Workspace{Name: "a", Weight: 2}), removed}, 2},
		"unseen": {[]*job.Config{removed}, 1},
	} {
		js := &jobState{def: j, limits: j.Limits}
		for _, cfg := range c.configs {
			js.configure(cfg)
		}
		if js.limits == nil || js.limits.Weight != c.want {
			t.Errorf("%s: limits %+v, want weight %v", name, js.limits, c.want)
		}
		s := New(1, 0, Limits{}, log.NewNopLogger())
		s.jobs[id] = js
		if st := s.Query(id); st.Workspace != "a" {
			t.Errorf("%s: %+v, want workspace a", name, st)
		}
	}
}
