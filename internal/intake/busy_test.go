package intake

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestBusyDaemon guards against closing the connections of clients that have sent
// their requests because a busy daemon has not read or handled them yet.
func TestBusyDaemon(t *testing.T) {
	g := New(ample, log.NewNopLogger(), nil)
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var clients []net.Conn
	var conns []*conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		clients, conns = append(clients, c), append(conns, g.add(s))
	}
	defer func() {
		for i := range clients {
			_, _ = clients[i].Close(), conns[i].Close()
		}
	}()
	unread, working, stopped := conns[0], conns[1], conns[2]
	unread.blocked, stopped.blocked = 1, 1 // in Read; working is between two calls
	if _, err := io.WriteString(clients[0], "POST"); err != nil {
		t.Fatal(err)
	}
	for !unread.hasUnread() {
		time.Sleep(time.Millisecond)
	}
	now := time.Now().Add(time.Second)
	if v := g.pick(now, func(*conn) bool { return true }); v != stopped {
		t.Errorf("picked the connection with unread bytes %t, the one that is worked on %t", v == unread, v == working)
	}
}

// TestBusyDaemonIdle guards against closing the idle connection of a caller whose next
// request a busy daemon has not read yet.
func TestBusyDaemonIdle(t *testing.T) {
	g := New(ample, log.NewNopLogger(), nil)
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var conns []*conn
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "POST"); err != nil {
			t.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, g.add(s))
		defer func() { _ = s.Close() }()
	}
	sent, unused := conns[0], conns[1]
	for _, c := range conns {
		for !c.hasUnread() {
			time.Sleep(time.Millisecond)
		}
		c.idle, c.blocked = true, 1
	}
	if _, err := unused.Conn.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	all := func(*conn) bool { return true }
	if v := g.pick(time.Now().Add(time.Second), all); v != unused {
		t.Errorf("picked the connection with an unread request %t", v == sent)
	}
}

// TestDecodeHalfClosed guards against rejecting a large body for want of a free slot,
// of which there are some, because its client has closed its side of the connection.
func TestDecodeHalfClosed(t *testing.T) {
	g := New(ample, log.NewNopLogger(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		c := &conn{guard: g, response: httptest.NewRecorder()}
		b := &Body{conn: c, rest: []*[segmentSize]byte{{}}, size: segmentSize}
		if err := b.Decode(ctx, time.Now().Add(time.Second), func([]byte) {}); err != nil {
			t.Fatal(err)
		}
	}
}
