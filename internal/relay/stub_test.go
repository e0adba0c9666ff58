package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"go.uber.org/goleak"
)

// leaderStub is a leader whose messages a test writes.
type leaderStub struct {
	t     *testing.T
	conns chan *websocket.Conn
	relay *fakeRunners
	log   logLines
}

// newLeaderStub returns a leader stub that a relay connects to.
func newLeaderStub(t *testing.T) *leaderStub {
	t.Helper()
	s := &leaderStub{t: t, conns: make(chan *websocket.Conn), relay: &fakeRunners{}}
	ctx, cancel := context.WithCancel(t.Context())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		select {
		case s.conns <- c:
			<-ctx.Done()
		case <-ctx.Done():
		}
		_ = c.CloseNow()
	}))
	at := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	w := &Worker{
		Name: "host-a", Zone: "a", RelativeCapacity: 1, Runners: s.relay, Logger: &s.log,
		Leader: func() (netip.AddrPort, <-chan struct{}) { return at, nil },
	}
	done := make(chan struct{})
	go func() { _ = w.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		srv.Close()
		goleak.VerifyNone(t)
	})
	return s
}

// accept returns the next connection and its hello.
func (s *leaderStub) accept() (*websocket.Conn, hello) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testLimit)
	defer cancel()
	select {
	case c := <-s.conns:
		var h hello
		if err := read(ctx, c, &h); err != nil {
			s.t.Fatal(err)
		}
		return c, h
	case <-ctx.Done():
		s.t.Fatal("no connection of the relay")
	}
	return nil, hello{}
}

// open accepts a connection whose hello reached the leader at a time of its
// clock.
func (s *leaderStub) open(at leaderTime) (*websocket.Conn, reading) {
	s.t.Helper()
	c, h := s.accept()
	r := reading{SentAt: h.SentAt, ReceivedAt: at}
	s.send(c, callBatch{Reading: r})
	return c, r
}

func (s *leaderStub) send(c *websocket.Conn, b callBatch) {
	s.t.Helper()
	if err := write(s.t.Context(), c, b); err != nil {
		s.t.Fatal(err)
	}
}

// results returns n results of the relay by the number of their calls.
func (s *leaderStub) results(c *websocket.Conn, n int) map[uint64]result {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testLimit)
	defer cancel()
	byCall := make(map[uint64]result)
	for len(byCall) < n {
		var b resultBatch
		if err := read(ctx, c, &b); err != nil {
			s.t.Fatalf("%d of %d results: %v", len(byCall), n, err)
		}
		for _, r := range b.Results {
			byCall[r.Seq] = r
		}
	}
	return byCall
}

// connectStub connects a relay whose messages the test writes to a pool.
func connectStub(t *testing.T) (*Pool, *websocket.Conn) {
	t.Helper()
	p := newFixture(t).pool
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	c, _, err := websocket.Dial(t.Context(), srv.URL, nil) //nolint:bodyclose // the library closes it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.CloseNow() })
	if err := write(t.Context(), c, hello{Name: "stub", Zone: "a", RelativeCapacity: 1}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "connection", func() bool { return p.Relays() == 1 })
	return p, c
}
