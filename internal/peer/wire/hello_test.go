package wire

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// pipe is one end of an in-memory exchange of messages.
type pipe struct {
	in  <-chan message.Message
	out chan<- message.Message
}

func (p pipe) Write(_ context.Context, m message.Message) error { p.out <- m; return nil }

func (p pipe) Read(ctx context.Context) (message.Message, error) {
	select {
	case m, ok := <-p.in:
		if !ok {
			return nil, errors.New("pipe closed")
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// mirror sends back every message that it receives.
type mirror struct{ msgs []message.Message }

func (r *mirror) Write(_ context.Context, m message.Message) error {
	r.msgs = append(r.msgs, m)
	return nil
}

func (r *mirror) Read(context.Context) (message.Message, error) {
	m := r.msgs[0]
	r.msgs = r.msgs[1:]
	return m, nil
}

// TestReflectedProof guards against a peer without the secret that sends back
// the hello and the proof that it received.
func TestReflectedProof(t *testing.T) {
	if _, err := handshake(t.Context(), &mirror{}, message.Daemon{Name: "a"}, []byte("s"), dialing); err == nil {
		t.Error("reflected proof was accepted")
	}
}

// TestHandshake guards the handshake: two ends with the same secret must receive
// the identity of each other, and a wrong secret or a changed identity must be
// rejected.
func TestHandshake(t *testing.T) {
	a, b := message.Daemon{Name: "a", Incarnation: "a.1"}, message.Daemon{Name: "b", Incarnation: "b.1"}
	for _, tc := range []struct {
		name, secret string
		forge        bool
		ok           bool
	}{
		{"same secret", "s", false, true},
		{"other secret", "t", false, false},
		{"empty secret", "", false, false},
		{"changed identity", "s", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ab, ba := make(chan message.Message, 2), make(chan message.Message, 2)
			type result struct {
				d   message.Daemon
				err error
			}
			done := make(chan result, 1)
			go func() {
				defer close(ba)
				d, err := handshake(t.Context(), pipe{ab, ba}, b, []byte(tc.secret), accepting)
				done <- result{d, err}
			}()
			var f framer = pipe{ba, ab}
			if tc.forge {
				f = forger{f}
			}
			got, err := handshake(t.Context(), f, a, []byte("s"), dialing)
			other := <-done
			if (err == nil) != tc.ok || (other.err == nil) != tc.ok {
				t.Fatalf("got errors %v and %v", err, other.err)
			}
			if tc.ok && (got != b || other.d != a) {
				t.Errorf("got identities %v and %v", got, other.d)
			}
		})
	}
}

// forger changes the identity in the hello that is sent through it.
type forger struct{ framer }

func (f forger) Write(ctx context.Context, m message.Message) error {
	if h, ok := m.(message.Hello); ok {
		h.Daemon.Zone = "forged"
		m = h
	}
	return f.framer.Write(ctx, m)
}

// TestQueue guards against a queue in which state messages accumulate, or other
// messages exceed the limits.
func TestQueue(t *testing.T) {
	q := NewQueue()
	load := func(pools ...string) (l message.Load) {
		for _, p := range pools {
			l.Pools = append(l.Pools, message.PoolLoad{Pool: p})
		}
		return l
	}
	for _, m := range []message.Message{
		load("x"),
		message.FreeSlots{Free: map[string]int{"x": 1}},
		load("x", "y"), load("y"),
		message.FreeSlots{Free: map[string]int{"x": 4}},
		message.Confirm{Zone: "a"},
		message.Confirm{Zone: "b"},
	} {
		if err := q.Push(m); err != nil {
			t.Fatal(err)
		}
	}
	got := q.take()
	if len(got) != 4 {
		t.Fatalf("%d messages are queued, want 4", len(got))
	}
	pools := got[0].typed.(message.Load).Pools
	if len(pools) != 1 || pools[0].Pool != "y" || got[1].typed.(message.FreeSlots).Free["x"] != 4 {
		t.Errorf("queued messages: %+v", got)
	}
	big := message.Report{Response: make([]byte, 60<<10)}
	var err error
	for n := 0; err == nil; n++ {
		if n > maxQueuedBytes/len(big.Response) {
			t.Fatal("queue has no limit on bytes")
		}
		err = q.Push(big)
	}
	if !errors.Is(err, ErrFull) {
		t.Error(err)
	}
}
