package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

// pipeListener is a listener for in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const bodyLimit = 64 << 10

// guarded is a server with a guard, whose handler reads the body.
type guarded struct {
	t      *testing.T
	guard  *Guard
	accept pipeListener
	hold   chan struct{} // requests to /hold wait for it
	errs   chan error    // of reading the bodies
}

// serve runs f with a server and a clock that the test advances.
func serve(t *testing.T, l Limits, f func(*guarded)) {
	synctest.Test(t, func(t *testing.T) {
		s := &guarded{t: t, guard: New(l, log.NewNopLogger(), nil), accept: make(pipeListener), hold: make(chan struct{}), errs: make(chan error, 100)}
		srv := &http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unread" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			b, err := Read(r, bodyLimit, time.Time{})
			if err == nil {
				err = b.Decode(r.Context(), time.Now().Add(time.Second), func(content []byte) { _, _ = fmt.Fprint(w, len(content), strings.Count(string(content), "x")) })
			}
			s.errs <- err
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			if r.URL.Path == "/hold" {
				<-s.hold
			}
		})}
		s.guard.Protect(srv)
		go func() { _ = srv.Serve(s.guard.Listener(s.accept)) }()
		f(s)
		_ = srv.Close()
		synctest.Wait()
		if got := s.guard.Status(); got.Connections != 0 || got.BodyBytes != 0 || got.HeaderBytes != 0 {
			t.Errorf("held at the end: %+v", got)
		}
	})
}

// dial connects and sends a text.
func (s *guarded) dial(text string) net.Conn {
	c, server := net.Pipe()
	s.accept <- server
	if text != "" {
		go func() { _, _ = io.WriteString(c, text) }()
	}
	synctest.Wait()
	return c
}

// closed reports whether the server has closed a connection that has no response.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Nanosecond))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func (s *guarded) status(c net.Conn) (int, string, bool) {
	s.t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return res.StatusCode, string(b), res.Close
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

var ample = Limits{Connections: 100, BodyBytes: 1 << 20, HeaderBytes: 1 << 20, Decodes: 1, BodyTime: 5 * time.Second}

// TestConnectionLimit guards against a limit at which newcomers are turned away,
// or which closes idle connections of ordinary callers or requests that are being
// handled while others are stalled in the middle of a request.
func TestConnectionLimit(t *testing.T) {
	l := ample
	l.Connections = 4
	serve(t, l, func(s *guarded) {
		idle := s.dial(post("/", 0, ""))
		if status, _, _ := s.status(idle); status != http.StatusOK {
			t.Fatal(status)
		}
		handled := s.dial(post("/hold", 0, ""))
		time.Sleep(time.Second)
		older := s.dial("POST / HT")
		time.Sleep(time.Second)
		newer := s.dial("POST / HT")
		time.Sleep(time.Second)
		for i, victim := range []net.Conn{older, newer, idle} {
			c := s.dial(post("/hold", 0, ""))
			if !closed(victim) || closed(c) {
				t.Errorf("%d: victim closed %t, newcomer closed %t", i, closed(victim), closed(c))
			}
		}
		if c := s.dial(post("/hold", 0, "")); !closed(c) || closed(handled) {
			t.Error("a request that is handled was closed")
		}
		close(s.hold)
	})
}

// TestStalledBodyYields guards against bodies that stop short of the end and keep
// others out, also if their clients send single bytes from time to time.
func TestStalledBodyYields(t *testing.T) {
	l := ample
	l.BodyBytes = 40 << 10
	serve(t, l, func(s *guarded) {
		stalled := s.dial(post("/", 40<<10, strings.Repeat("x", 20<<10)))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for _, err := io.WriteString(stalled, "x"); err == nil; _, err = io.WriteString(stalled, "x") {
				time.Sleep(stallGrace / 4)
			}
		}()
		time.Sleep(time.Second)
		if held := s.guard.Status().BodyBytes; held != 40<<10 {
			t.Errorf("%d bytes held", held)
		}
		c := s.dial(post("/", 30000, strings.Repeat("x", 30000)))
		if status, body, _ := s.status(c); status != http.StatusOK || body != "30000 30000" || !closed(stalled) {
			t.Errorf("status %d, %s, stalled body closed %t", status, body, closed(stalled))
		}
		<-stopped
	})
}

// TestOneYields guards against closing more stalled bodies than the newest one
// needs.
func TestOneYields(t *testing.T) {
	l := ample
	l.BodyBytes = 80 << 10
	serve(t, l, func(s *guarded) {
		body := post("/", 40<<10, strings.Repeat("x", 40<<10))
		older := s.dial(body[:len(body)-1])
		time.Sleep(time.Second)
		newer := s.dial(body[:len(body)-1])
		time.Sleep(time.Second)
		if status, _, _ := s.status(s.dial(body)); status != http.StatusOK || !closed(older) || closed(newer) {
			t.Errorf("status %d, older closed %t, newer closed %t", status, closed(older), closed(newer))
		}
	})
}

// TestNewestFirst guards against bodies that wait behind many older ones, which are
// mostly those of clients that send more than there is room for.
func TestNewestFirst(t *testing.T) {
	l := ample
	l.BodyBytes = 40 << 10
	serve(t, l, func(s *guarded) {
		body := post("/hold", 40<<10, strings.Repeat("x", 40<<10))
		handled, older, newer := s.dial(body), s.dial(body), s.dial(body)
		s.hold <- struct{}{}
		if status, _, _ := s.status(handled); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		time.Sleep(2 * roomTime)
		close(s.hold)
		if status, _, _ := s.status(newer); status != http.StatusOK {
			t.Errorf("newer body: status %d", status)
		}
		if status, _, _ := s.status(older); status != http.StatusServiceUnavailable {
			t.Errorf("older body: status %d", status)
		}
	})
}

// TestNewcomersBeforeWaiting guards against closing callers who have just connected
// while a crowd of bodies that wait for room keeps its connections.
func TestNewcomersBeforeWaiting(t *testing.T) {
	l := ample
	l.Connections, l.BodyBytes = 3, 40<<10
	serve(t, l, func(s *guarded) {
		body := post("/hold", 40<<10, strings.Repeat("x", 40<<10))
		s.dial(body) // takes all room
		older, newer := s.dial(body), s.dial(body)
		first := s.dial("POST / HT")
		second := s.dial("POST / HT")
		if !closed(older) || !closed(newer) || closed(first) || closed(second) {
			t.Errorf("waiting closed %t, %t; newcomers closed %t, %t", closed(older), closed(newer), closed(first), closed(second))
		}
		close(s.hold)
	})
}

// TestNoRoom guards against a body that waits without end for those that are being
// handled, and against small bodies that wait for large ones.
func TestNoRoom(t *testing.T) {
	l := ample
	l.BodyBytes = 40 << 10
	serve(t, l, func(s *guarded) {
		s.dial(post("/hold", 30<<10, strings.Repeat("x", 30<<10)))
		large := s.dial(post("/", 30<<10, strings.Repeat("x", 30<<10)))
		if status, body, _ := s.status(s.dial(post("/", smallBody, strings.Repeat("x", smallBody)))); status != http.StatusOK || body != "8192 8192" {
			t.Errorf("small body: status %d, %s", status, body)
		}
		if status, _, closes := s.status(large); status != http.StatusServiceUnavailable || !closes {
			t.Errorf("large body: status %d, connection closed %t", status, closes)
		}
		close(s.hold)
		for _, want := range []error{nil, nil, ErrBusy} {
			if err := <-s.errs; !errors.Is(err, want) {
				t.Errorf("error %v, expected %v", err, want)
			}
		}
	})
}

// TestBodyTime guards against a body that arrives too slowly and holds its room
// although nobody else needs it.
func TestBodyTime(t *testing.T) {
	serve(t, ample, func(s *guarded) {
		c := s.dial("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n")
		if status, _, closes := s.status(c); status != http.StatusServiceUnavailable || !closes {
			t.Errorf("status %d, connection closed %t", status, closes)
		}
		if err := <-s.errs; !errors.Is(err, ErrSlow) {
			t.Errorf("error %v", err)
		}
	})
}

// TestChunked guards against chunked bodies that are cut off, that hold room for
// the longest body after they have arrived, or that exceed the limit.
func TestChunked(t *testing.T) {
	chunked := func(n int, end string) string {
		return fmt.Sprintf("POST /hold HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", n, strings.Repeat("x", n), end)
	}
	serve(t, ample, func(s *guarded) {
		whole := s.dial(chunked(20_000, "0\r\n\r\n"))
		if held := s.guard.Status().BodyBytes; held != 20_000 {
			t.Errorf("%d bytes held", held)
		}
		s.dial(chunked(bodyLimit+1, "0\r\n\r\n"))
		broken := s.dial(chunked(20_000, "zz"))
		close(s.hold)
		if status, body, _ := s.status(whole); status != http.StatusOK || body != "20000 20000" {
			t.Errorf("status %d, %s", status, body)
		}
		if status, _, _ := s.status(broken); status != http.StatusServiceUnavailable {
			t.Errorf("broken body: status %d", status)
		}
		for i, want := range []error{nil, ErrTooLong} {
			if err := <-s.errs; !errors.Is(err, want) {
				t.Errorf("%d: error %v", i, err)
			}
		}
	})
}

// TestHeaderLimit guards against long headers without an end that add up, and
// against a limit that requests with short headers meet.
func TestHeaderLimit(t *testing.T) {
	l := ample
	l.HeaderBytes = 100 << 10
	serve(t, l, func(s *guarded) {
		var long []net.Conn
		for range 6 {
			long = append(long, s.dial("POST / HTTP/1.1\r\nFill: "+strings.Repeat("x", 30<<10)))
			time.Sleep(time.Second)
		}
		if held := s.guard.Status().HeaderBytes; held > l.HeaderBytes || !closed(long[0]) || closed(long[5]) {
			t.Errorf("%d bytes held; oldest closed %t, newest %t", held, closed(long[0]), closed(long[5]))
		}
		if status, _, _ := s.status(s.dial(post("/", 0, ""))); status != http.StatusOK {
			t.Errorf("short header: status %d", status)
		}
	})
}

// TestUnreadBody guards against a body that the handler does not read and that counts
// as a header, and against closing the connection of its caller as a stalled one.
func TestUnreadBody(t *testing.T) {
	serve(t, ample, func(s *guarded) {
		c := s.dial(post("/unread", bodyLimit, strings.Repeat("x", bodyLimit)))
		if code, _, last := s.status(c); code != http.StatusUnauthorized || last {
			t.Fatalf("status %d, connection closed %t", code, last)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if got := s.guard.Status(); got.HeaderBytes != 0 {
			t.Errorf("%d bytes of headers are held for an idle connection", got.HeaderBytes)
		}
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		if r, _ := s.guard.conns[0].rank(time.Now()); r != idle {
			t.Errorf("rank %d of an idle connection, want %d", r, idle)
		}
	})
}

// TestLimitsFor guards against defaults that ordinary callers of the smallest hosts
// meet: hundreds of connections, and dozens of bodies of which some wait.
func TestLimitsFor(t *testing.T) {
	const fullBody = 256 << 10
	l := LimitsFor(184, 4100)
	if l.Connections < 300 || l.BodyBytes < 20*fullBody || l.HeaderBytes < 100*(16<<10) || l.Decodes != 2 {
		t.Errorf("limits %+v", l)
	}
	if l := LimitsFor(536, 400); l.Connections != 100 {
		t.Errorf("%d connections with 400 descriptors", l.Connections)
	}
	if l := LimitsFor(1, 1); l.Connections != minConnections || l.BodyBytes < fullBody {
		t.Errorf("least limits %+v", l)
	}
}
