package faults

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// maxRequest bounds the body of a request, as etcd bounds it by default.
const maxRequest = 3 << 19 // bytes

// Injector applies faults to calls. The zero value applies none.
type Injector struct {
	// Closed, when closed, ends the calls that are held.
	Closed <-chan struct{}

	mu      sync.Mutex
	now     Faults
	counts  Counts
	changed chan struct{} // closed and replaced when the faults change; nil at first
}

// Set replaces the faults in force.
func (f *Injector) Set(now Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = now
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// current returns the faults in force and a channel that closes with them.
func (f *Injector) current() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.now, f.changed
}

// Status returns the faults in force and the counts.
func (f *Injector) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{f.now, f.counts}
}

// Put answers PUT /faults.
func (f *Injector) Put(w http.ResponseWriter, r *http.Request) error {
	var now Faults
	if err := rest.Decode(r, &now); err != nil {
		return err
	}
	f.Set(now)
	return f.Get(w, r)
}

// Get answers GET /faults.
func (f *Injector) Get(w http.ResponseWriter, _ *http.Request) error {
	return rest.Reply(w, f.Status())
}

// Lag is the age of the lists that lag.
func (f *Injector) Lag() time.Duration { return time.Duration(f.Status().Faults.Lag) }

// Old returns the revision that reads answer with, or zero.
func (f *Injector) Old() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.Revision != 0 {
		f.counts.Old++
	}
	return f.now.Revision
}

// verdict is what the faults do to one call.
type verdict struct {
	delay             time.Duration
	freeze            bool
	cut, refuse, lose bool
}

// decide counts a call and takes one lost answer if it is a write.
func (f *Injector) decide(r *http.Request) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	write := false
	switch {
	case r.URL.Path == "/v3/watch":
		f.counts.Watches++
	case r.Method == http.MethodGet || r.URL.Path == "/v3/kv/range":
		f.counts.Reads++
	default:
		f.counts.Writes++
		write = true
	}
	var v verdict
	if slices.Contains(f.now.Cut, r.Header.Get("Zone")) {
		f.counts.Cut++
		return verdict{cut: true}
	}
	if !strings.HasPrefix(r.URL.Path, f.now.Path) {
		return v
	}
	if v.delay = time.Duration(f.now.Delay); v.delay > 0 {
		f.counts.Delayed++
	}
	if v.freeze = f.now.Freeze; v.freeze {
		f.counts.Frozen++
	}
	if v.refuse = f.now.Refuse; v.refuse {
		f.counts.Refused++
	} else if write && f.now.Lose > 0 {
		f.now.Lose--
		f.counts.Lost++
		v.lose = true
	}
	return v
}

// Wrap applies the faults to the calls of h.
func (f *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The body is read first, so that a held call can take effect later.
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		if err != nil {
			rest.Refuse(w, http.StatusBadRequest, 0, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		v := f.decide(r)
		if v.cut {
			panic(http.ErrAbortHandler)
		}
		if v.delay > 0 {
			f.wait(r.Context(), v.delay)
		}
		if v.freeze && f.Thawed(context.WithoutCancel(r.Context())) != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case v.refuse:
			rest.Refuse(w, http.StatusTooManyRequests, gateway.ResourceExhausted, "etcdserver: too many requests")
		case v.lose:
			h.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

func (f *Injector) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-f.Closed:
	}
}

// Thawed returns once nothing is frozen, or when ctx or the server ends.
func (f *Injector) Thawed(ctx context.Context) error {
	for {
		now, changed := f.current()
		if !now.Freeze {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.Closed:
			return errClosed
		}
	}
}

var (
	errCut    = errors.New("zone is cut off")
	errClosed = errors.New("server closed")
)

// Connected returns a context that ends when the zone is cut off or the
// server closes.
func (f *Injector) Connected(ctx context.Context, zone string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			now, changed := f.current()
			if slices.Contains(now.Cut, zone) {
				cancel(errCut)
			}
			select {
			case <-changed:
			case <-f.Closed:
				cancel(errClosed)
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// discard is a response that nobody receives.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
