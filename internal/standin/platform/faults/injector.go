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

// maxRequest is the maximum size of a request body, the default of etcd.
const maxRequest = 3 << 19 // bytes

// Injector applies faults to calls. The zero value applies none.
type Injector struct {
	// Closed ends the delayed and frozen calls when it is closed.
	Closed <-chan struct{}

	mu      sync.Mutex
	active  Faults
	counts  Counts
	changed chan struct{} // closed and replaced when the faults change; nil at first
}

// Set replaces the active faults.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active = faults
	if i.changed != nil {
		close(i.changed)
	}
	i.changed = make(chan struct{})
}

// current returns the active faults and a channel that is closed when they
// change.
func (i *Injector) current() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.active, i.changed
}

// Status returns the active faults and the counts.
func (i *Injector) Status() Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Status{i.active, i.counts}
}

// Put handles PUT /faults.
func (i *Injector) Put(w http.ResponseWriter, r *http.Request) error {
	var faults Faults
	if err := rest.Decode(r, &faults); err != nil {
		return err
	}
	i.Set(faults)
	return i.Get(w, r)
}

// Get handles GET /faults.
func (i *Injector) Get(w http.ResponseWriter, _ *http.Request) error {
	return rest.Reply(w, i.Status())
}

// Lag returns the age of the host list and the usage that reads return.
func (i *Injector) Lag() time.Duration { return time.Duration(i.Status().Faults.Lag) }

// ReadRevision returns the revision at which reads are served and counts the
// read, or returns zero if reads are not outdated.
func (i *Injector) ReadRevision() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active.Revision != 0 {
		i.counts.Old++
	}
	return i.active.Revision
}

// effect is the combination of faults that applies to one call.
type effect struct {
	delay             time.Duration
	freeze            bool
	cut, refuse, lose bool
}

// decide counts a call and returns the faults that apply to it. A write that is
// not refused uses up one of the remaining LoseResponses.
func (i *Injector) decide(r *http.Request) effect {
	i.mu.Lock()
	defer i.mu.Unlock()
	write := false
	switch {
	case r.URL.Path == "/v3/watch":
		i.counts.Watches++
	case r.Method == http.MethodGet || r.URL.Path == "/v3/kv/range":
		i.counts.Reads++
	default:
		i.counts.Writes++
		write = true
	}
	var e effect
	if slices.Contains(i.active.CutZones, r.Header.Get("Zone")) {
		i.counts.Cut++
		return effect{cut: true}
	}
	if !strings.HasPrefix(r.URL.Path, i.active.Path) {
		return e
	}
	if e.delay = time.Duration(i.active.Delay); e.delay > 0 {
		i.counts.Delayed++
	}
	if e.freeze = i.active.Freeze; e.freeze {
		i.counts.Frozen++
	}
	if e.refuse = i.active.Refuse; e.refuse {
		i.counts.Refused++
	} else if write && i.active.LoseResponses > 0 {
		i.active.LoseResponses--
		i.counts.Lost++
		e.lose = true
	}
	return e
}

// Wrap applies the faults to the calls of h.
func (i *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The body is read first, so that a frozen call can take effect after
		// its caller has disconnected.
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		if err != nil {
			rest.WriteError(w, http.StatusBadRequest, 0, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		e := i.decide(r)
		if e.cut {
			panic(http.ErrAbortHandler)
		}
		if e.delay > 0 {
			i.wait(r.Context(), e.delay)
		}
		if e.freeze && i.WaitUnfrozen(context.WithoutCancel(r.Context())) != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case e.refuse:
			rest.WriteError(w, http.StatusTooManyRequests, gateway.ResourceExhausted, "etcdserver: too many requests")
		case e.lose:
			h.ServeHTTP(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

func (i *Injector) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-i.Closed:
	}
}

// WaitUnfrozen waits until calls are not frozen. It returns an error if ctx ends
// or the server closes before that.
func (i *Injector) WaitUnfrozen(ctx context.Context) error {
	for {
		active, changed := i.current()
		if !active.Freeze {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-i.Closed:
			return errClosed
		}
	}
}

var (
	errCut    = errors.New("zone is cut off")
	errClosed = errors.New("server closed")
)

// ConnectionContext returns a context that ends when the zone is cut off or the
// server closes.
func (i *Injector) ConnectionContext(ctx context.Context, zone string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			active, changed := i.current()
			if slices.Contains(active.CutZones, zone) {
				cancel(errCut)
			}
			select {
			case <-changed:
			case <-i.Closed:
				cancel(errClosed)
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return make(http.Header) }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
