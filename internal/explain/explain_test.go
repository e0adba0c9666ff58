package explain

import (
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// TestRecorded guards against daemons and commands of different versions that misread
// each other's messages, and against a fact that is not printed.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "explanation", recorded.Encoder[sched.Explanation](json.Marshal), recorded.Decoder[sched.Explanation](json.Unmarshal))
	e := recorded.New[sched.Explanation]()
	var b strings.Builder
	if err := Print(&b, &e); err != nil {
		t.Error(err)
	}
	f.Check("text", []byte(b.String()))
}

type daemon struct {
	leads  bool
	remote netip.AddrPort
	asked  *job.Job
}

func (d *daemon) Explain(j *job.Job) (*sched.Explanation, bool, error) {
	d.asked = j
	return &sched.Explanation{Service: j.Service}, d.leads, nil
}

func (d *daemon) RemoteLeader() (netip.AddrPort, <-chan struct{}) { return d.remote, nil }

// TestAsk guards against a question that does not reach the leader, a body without a
// bound, and an error that is taken for an explanation.
func TestAsk(t *testing.T) {
	serve := func(d *daemon) netip.AddrPort {
		cfg := job.NewConfig(1, []*job.Queue{{Name: "work", Service: "pool"}}, nil, job.Limits{BodyBytes: 10})
		srv := httptest.NewServer(&Handler{Leader: d, Config: func() *job.Config { return cfg }, Decode: func(b []byte, q *job.Queue, _ time.Time) (*job.Job, error) {
			return &job.Job{Spec: string(b), Queue: q.Name, Service: q.Service}, nil
		}})
		t.Cleanup(srv.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	}
	leader, none, loop := &daemon{leads: true}, &daemon{}, &daemon{}
	at := serve(&daemon{remote: serve(leader)})
	loop.remote = serve(loop)
	e, err := Ask(t.Context(), at, "work", "w&x", []byte("job"))
	if err != nil || e.Service != "pool" || leader.asked.Spec != "job" || leader.asked.Workspace != "w&x" {
		t.Errorf("explanation %+v, %v, of job %+v", e, err, leader.asked)
	}
	for name, c := range map[string]struct {
		at    netip.AddrPort
		queue string
		body  string
	}{
		"queue": {at, "other", "job"}, "body is too long": {at, "work", "longer job."}, "no leader": {serve(none), "work", "job"}, "loop": {loop.remote, "work", "job"},
	} {
		if e, err := Ask(t.Context(), c.at, c.queue, "", []byte(c.body)); err == nil {
			t.Errorf("%s: explanation %+v", name, e)
		}
	}
}

// TestExample guards against a command that does not print what docs/operators.md shows.
func TestExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	e := sched.Explanation{
		Version: 7, Service: "pool-a", Attempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond, Objective: 1560 * time.Millisecond, Chain: 600 * time.Millisecond,
		Runners: 70, Usable: 64, Front: []sched.FrontWork{{Class: "timely", Jobs: 3, Tasks: 17, Work: 31.6}},
		Steps: []sched.StepExplanation{{
			Tasks: 8, Room: 8, Runner: "r-17", Instead: "r-04", Why: []string{"near its data", "packed", "apart from an image that interferes"}, Expected: 600 * time.Millisecond, Learned: true,
			Obstacle: map[string]int{"full": 40, "unusable": 6}, Unusable: map[string]int{"cordoned": 4, "unreachable": 2},
		}},
	}
	var b strings.Builder
	if err := Print(&b, &e); err != nil || !strings.Contains(string(page), "    "+strings.ReplaceAll(strings.TrimSpace(b.String()), "\n", "\n    ")) {
		t.Errorf("docs/operators.md does not show, %v:\n%s", err, b.String())
	}
}
