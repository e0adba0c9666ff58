package relay

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// link forwards connections to a leader. While it is held, nothing that the
// leader sends arrives: it is cut, or the relay is paused.
type link struct {
	listener net.Listener
	held     sync.RWMutex
	wg       sync.WaitGroup
}

func newLink(t *testing.T, leader netip.AddrPort) (*link, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at the end of the test
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l}
	k.wg.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", leader.String()) //nolint:noctx // loopback
			if err != nil {
				t.Error(err)
				_ = near.Close()
				continue
			}
			k.wg.Go(func() { _, _ = io.Copy(far, near); _ = far.Close() })
			k.wg.Go(func() { k.forward(near, far); _ = near.Close() })
		}
	})
	return k, netip.MustParseAddrPort(l.Addr().String())
}

// forward copies what the leader sends.
func (k *link) forward(to io.Writer, from io.Reader) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		k.held.RLock()
		_, err = to.Write(b[:n])
		k.held.RUnlock()
		if err != nil {
			return
		}
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.wg.Wait()
}

// logLines is a logger that stores lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprint(keyvals...))
	return nil
}

// count returns the number of lines with a text.
func (l *logLines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.lines {
		if strings.Contains(s, text) {
			n++
		}
	}
	return n
}

// testLimit ends a test that waits for an event that does not occur; no result
// depends on speed.
const testLimit = time.Minute

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testLimit)
		}
	}
}

// logExpired is the message of the log line on calls that were not sent.
const logExpired = "expired calls not sent"

// TestHeldCallExecutedLate guards against a relay that executes a call which was
// held on the link or in the buffer of the paused relay, after the leader has
// given up on it.
func TestHeldCallExecutedLate(t *testing.T) {
	to := target("a")
	for name, send := range map[string]func(*Pool) error{
		"start": func(p *Pool) error {
			_, err := p.Start(t.Context(), to, 5, runner.Start{Attempt: 1})
			return err
		},
		"starts": func(p *Pool) error {
			return p.StartAll(t.Context(), to, 5, make([]runner.Start, 3))[2].Err
		},
		"stop": func(p *Pool) error {
			_, err := p.Stop(t.Context(), to, 5, job.Task{}, 1)
			return err
		},
		"throttle": func(p *Pool) error {
			_, err := p.Throttle(t.Context(), to, 5, job.Task{}, 1, 50)
			return err
		},
		"poll": func(p *Pool) error {
			_, _, err := p.Poll(t.Context(), to, 5, runner.PollRequest{LeaseUntil: 9})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLinkedFixture(t, "a")
			calls := &r.relays["a"].calls
			r.link.held.Lock()
			err := send(r.pool)
			r.link.held.Unlock()
			if !errors.Is(err, runner.ErrNoResponse) {
				t.Errorf("held call returned %v, want no response", err)
			}
			waitFor(t, "decision of the relay", func() bool { return calls.Load() > 0 || r.log.count(logExpired) > 0 })
			if n := calls.Load(); n != 0 {
				t.Fatalf("%d calls were made to the runner after the leader had given up", n)
			}
			waitFor(t, "call in time after the held one", func() bool { return send(r.pool) == nil })
		})
	}
}

// TestCallContinuesAfterExpiry guards against a call that a relay has begun and
// still makes after its expiry, such as one that waits for a connection.
func TestCallContinuesAfterExpiry(t *testing.T) {
	r := newLinkedFixture(t, "a")
	runners := r.relays["a"]
	runners.hanging.Store(true)
	if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); !errors.Is(err, runner.ErrNoResponse) {
		t.Errorf("start returned %v, want no response", err)
	}
	waitFor(t, "end of the call", func() bool { return runners.canceled.Load() == 1 })
	if r.pool.Relays() != 1 {
		t.Error("the call ended with the connection")
	}
}
