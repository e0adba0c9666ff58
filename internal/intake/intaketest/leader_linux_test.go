package intaketest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// leaderCase is a crowd of few clients, each of which sends valid jobs one after
// the other. No runner is registered, so that the jobs stay open.
type leaderCase struct {
	clients, jobs int // jobs of each client
	body          []byte
}

// repeated returns a job of at most maxBody bytes with as many equal steps as fit.
func repeated(step string) []byte {
	var b bytes.Buffer
	b.WriteString(`{"steps":[` + step)
	for b.Len()+len(step)+3 <= maxBody {
		b.WriteString("," + step)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

var (
	// manySteps has some 5,400 steps of one task.
	manySteps = leaderCase{4, 15, repeated(`{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":99}`)}
	manyTasks = leaderCase{4, 75, []byte(`{"steps":[{"count":1000,"cpu":1000,"mem-mb":64}]}`)}
	longName  = leaderCase{4, 75, []byte(`{"steps":[{"count":1,"cpu":1000,"affinity":"` + strings.Repeat("r", 262_000-100) + `"}]}`)}
	// manyOccurrences has a hundred occurrences of 1,000 tasks, all of which are due.
	manyOccurrences = leaderCase{4, 5, []byte(`{"steps":[{"count":1000,"cpu":1000}],"repeats":100,"first-ms":1000,"period-ms":1}`)}
)

// configuration is the operators' configuration.
func configuration(t *testing.T) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "work", "host": queueHost, "prefix": "/jobs/", "timeout-ms": 3000, "service": "pool", "max-attempts": 1}},
		"services": []map[string]any{{"name": "pool"}},
		"limits":   map[string]any{"max-body-bytes": maxBody, "max-header-bytes": 16384},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// leaderStore is a store that several daemons use in turn.
type leaderStore struct {
	store.Server
	url string
}

func startStore(t *testing.T) *leaderStore {
	t.Helper()
	s := &leaderStore{}
	s.Put(platform.ConfigKey, configuration(t))
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	s.url = h.Listener.Addr().String()
	return s
}

// startLeader starts the command entry and waits until there is a leader, which is this
// daemon if the store has no other.
func startLeader(t *testing.T, s *leaderStore) *process {
	t.Helper()
	return startOn(t, s, memoryMB)
}

// startOn is startLeader for a host with the given memory.
func startOn(t *testing.T, s *leaderStore, memoryMB int) *process {
	t.Helper()
	ports := freePorts(t, 4)
	file := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(settings, ports[0], ports[0], ports[1], ports[2], memoryMB, maxFDs, s.url)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, callers: loopback(ports[1]), method: http.MethodPost, path: "/jobs/00000000000000aa", host: queueHost, memoryMB: memoryMB}
	p.start([]string{"GYPSUMTRESTLE_NODE_FILE=" + file}, "entry", "--metrics", loopback(ports[3]).String())
	p.awaitPending(1)
	return p
}

// pending returns how many jobs the leader counts as waiting, or -1.
func (p *process) pending() int {
	c := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+p.callers.String()+"/jobs/", http.NoBody)
	if err != nil {
		return -1
	}
	r.Host = p.host
	res, err := c.Do(r)
	if err != nil {
		return -1
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	var v struct{ Pending int }
	if err != nil || res.StatusCode != http.StatusOK || json.Unmarshal(b, &v) != nil {
		return -1
	}
	return v.Pending
}

// awaitPending waits until the leader has read at least n jobs or the process ends.
func (p *process) awaitPending(n int) {
	p.t.Helper()
	got := -1
	for end := time.Now().Add(startTimeout); p.alive() && time.Now().Before(end); time.Sleep(pollInterval) {
		if got = p.pending(); got >= n {
			return
		}
	}
	if p.alive() {
		p.t.Errorf("%d jobs pending, want %d", got, n)
	}
}

// sendJobs lets the clients send their jobs and returns how many were accepted.
func (p *process) sendJobs(c leaderCase) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range c.clients {
		wg.Go(func() {
			for k := range c.jobs {
				head := p.head(1000+i*c.jobs+k, fmt.Sprintf("Content-Length: %d\r\n", len(c.body)))
				if p.exchange([]string{head, string(c.body)}) == http.StatusOK {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return accepted
}

// end ends the process as a crash does. Its leases expire.
func (p *process) end(s *leaderStore) {
	_ = syscall.Kill(p.pid, syscall.SIGKILL)
	<-p.exited
	s.RevokeLeases()
}

// openJobs lets clients send jobs that stay open to the leader, and starts another
// daemon on the same store.
func openJobs(t *testing.T, c leaderCase) {
	s := startStore(t)
	p := startLeader(t, s)
	accepted := p.sendJobs(c)
	t.Logf("%d of %d jobs accepted", accepted, c.clients*c.jobs)
	if accepted == 0 {
		t.Error("no job was accepted")
	}
	p.awaitPending(1 + accepted)
	p.check()
	p.end(s)
	p = startLeader(t, s)
	p.awaitPending(1 + accepted)
	p.check()
}

// TestLeaderManySteps guards against a leader that runs out of memory since it
// accepts any number of valid jobs with thousands of steps, and against the next one
// that reads them from the store.
func TestLeaderManySteps(t *testing.T) { openJobs(t, manySteps) }

// TestLeaderManyTasks is TestLeaderManySteps for short requests for 1,000 tasks.
func TestLeaderManyTasks(t *testing.T) { openJobs(t, manyTasks) }

// TestLeaderLongName is TestLeaderManySteps for a step with a name that fills the
// request.
func TestLeaderLongName(t *testing.T) { openJobs(t, longName) }

// TestLeaderManyOccurrences is TestLeaderManySteps for jobs whose occurrences are all
// due.
func TestLeaderManyOccurrences(t *testing.T) { openJobs(t, manyOccurrences) }

// TestLeaderStoredJobs guards against a leader that runs out of memory since the store
// has more jobs than it can hold, which daemons of an earlier version accepted.
func TestLeaderStoredJobs(t *testing.T) {
	s := startStore(t)
	cfg, err := platform.DecodeConfig(configuration(t))
	if err != nil {
		t.Fatal(err)
	}
	const stored = 60
	for i := range stored {
		j, err := platform.DecodeJob(manySteps.body, cfg.Queues["work"], time.Now())
		if err != nil {
			t.Fatal(err)
		}
		j.ID = job.ID(fmt.Sprintf("%016x", i+1))
		b, err := job.EncodeJob(j)
		if err != nil {
			t.Fatal(err)
		}
		s.Put(job.Key(j.ID), b)
	}
	p := startLeader(t, s)
	p.awaitPending(1 + stored)
	p.check()
}
