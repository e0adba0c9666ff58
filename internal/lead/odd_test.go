package lead_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// registration returns a runner's entry in the store.
func registration(addr string, born int64) []byte {
	return fmt.Appendf(nil, `{"service":"p","addr":%q,"zone":"z","machine":"m","state":"ready","labels":["a","r"],`+
		`"capacity":{"cpu":4000,"mem-mb":1000},"born":%d}`, addr, born)
}

// TestOddEntriesWhileWorking guards against a leader that ends, loses the runs
// of a live runner, or stops following the runners, because another writer left
// odd entries among theirs, one of them in place of a good one.
func TestOddEntriesWhileWorking(t *testing.T) {
	s := newSystem(t, 0, 0, 0)
	for i := range 3 {
		s.store.Put(fmt.Sprintf("%sr%d", platform.RunnersPrefix, i), registration("127.0.0.1:1", 1))
	}
	c := s.config(0)
	c.Registry = lead.Registry{Prefix: platform.RunnersPrefix, Decode: platform.DecodeRunner}
	l := lead.New(c)
	s.leaders = append(s.leaders, l)
	s.run(l.Run, l.Done())
	polled := func(n int) {
		t.Helper()
		for end := time.Now().Add(limit); l.PolledRunners() < n; s.pause() {
			if time.Now().After(end) {
				t.Fatalf("%d runners are polled, want %d", l.PolledRunners(), n)
			}
		}
	}
	polled(3)
	odd := []string{
		strings.Repeat("[", 1<<20), "\xff", "", `{"service":"p","addr":"127.0.0.1:65536","state":"ready","capacity":{},"born":1}`,
		`{"service":"p","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e300},"born":1}`,
		string(registration("127.0.0.1:1", 1<<62)),
	}
	var ids []job.ID
	for n := range 5 {
		for i, entry := range odd {
			s.store.Put(fmt.Sprintf("%sodd%d", platform.RunnersPrefix, i), []byte(entry))
			s.store.Put(platform.RunnersPrefix+"r0", []byte(entry))
		}
		s.store.Put(platform.RunnersPrefix, []byte(odd[0]))
		ids = append(ids, s.submit(2*n+1))
		s.store.Compact() // the entries are listed again
		ids = append(ids, s.submit(2*n+2))
	}
	s.wait(ids)
	for task, n := range s.runners.Starts() {
		if n != 1 {
			t.Errorf("task %v started %d times", task, n)
		}
	}
	s.store.Put(platform.RunnersPrefix+"new", registration("127.0.0.1:1", 1))
	polled(4)
}
