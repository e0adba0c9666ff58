package lead_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/explain"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// TestExplain guards against a daemon from which a job as callers send it does not reach
// the leader, or that explains it by a state of its own.
func TestExplain(t *testing.T) {
	s := newSystem(t, 0, 0, 0)
	var addrs []netip.AddrPort
	for i := range 2 {
		mux := http.NewServeMux()
		srv := httptest.NewServer(mux)
		t.Cleanup(srv.Close)
		c := s.config(i)
		c.Self.Addr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		l := lead.New(c)
		mux.Handle(explain.Path, &explain.Handler{Leader: l, Config: c.CurrentConfig, Decode: platform.DecodeJob})
		s.leaders, addrs = append(s.leaders, l), append(addrs, c.Self.Addr)
	}
	if _, err := explain.Ask(t.Context(), addrs[0], "q", "", []byte(`{"steps":[{"count":1}]}`)); err == nil {
		t.Error("explanation without a leader")
	}
	for _, l := range s.leaders {
		s.run(l.Run, l.Done())
	}
	for _, at := range addrs {
		for start := time.Now(); ; {
			e, err := explain.Ask(t.Context(), at, "q", "", []byte(`{"steps":[{"count":13,"cpu":1000,"mem-mb":10,"estimate-ms":500}]}`))
			if time.Since(start) > limit {
				t.Fatalf("%s: %+v, %v", at, e, err)
			}
			if err != nil || e.Usable < 3 { // no leader yet, or it has not reached the runners
				s.pause()
				continue
			}
			if e.Service != "p" || e.Steps[0].Room != 12 || e.Steps[0].Runner != "r0" {
				t.Errorf("%s: %+v, want room for 12 of 13 tasks, the first on r0", at, e)
			}
			break
		}
	}
	if _, err := explain.Ask(t.Context(), addrs[0], "q", "", []byte(`{"steps":[]}`)); err == nil || !strings.Contains(err.Error(), "no steps") {
		t.Errorf("job without steps: %v", err)
	}
}
