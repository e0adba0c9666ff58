package backend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Headers of the protocol between daemons and runners.
const (
	headerRequestID = "Request-Id"
	headerKey       = "Idempotency-Key"
	headerOutcome   = "Outcome"
	headerLeaving   = "Leaving"
	headerWork      = "Work"

	outcomeNotRun = "not-run"
)

const readHeaderTimeout = 10 * time.Second

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Reply is the body of a runner's response.
type Reply struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	Request string `json:"request"`
}

// runner is one running task: a server for one service.
type runner struct {
	host    *Host
	service string
	slots   int
	addr    netip.AddrPort
	server  *http.Server

	mu       sync.Mutex
	listener net.Listener  // guarded by mu; nil while connections are refused
	running  int           // guarded by mu
	leaving  bool          // guarded by mu
	last     string        // guarded by mu; ID of the last request with a response
	idle     chan struct{} // closed when leaving and no request is running
	stopped  chan struct{} // closed when the runner has stopped
}

// startRunner starts a server on a free loopback port.
func startRunner(h *Host, service string, slots int) (*runner, error) {
	r := &runner{
		host: h, service: service, slots: slots,
		idle: make(chan struct{}), stopped: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	if err := r.listen(netip.AddrPortFrom(loopback, 0)); err != nil {
		return nil, err
	}
	return r, nil
}

// listen accepts connections on an address.
func (r *runner) listen(addr netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrapf(err, "listen on %v", addr)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = l
	r.addr = l.Addr().(*net.TCPAddr).AddrPort()
	// Serve ends when the listener or the server is closed.
	go func() { _ = r.server.Serve(&resetListener{Listener: l, faults: &r.host.faults}) }()
	return nil
}

// setRefuse closes the listener, or opens it again on the same port.
func (r *runner) setRefuse(on bool) error {
	r.mu.Lock()
	l := r.listener
	if on {
		r.listener = nil
	}
	r.mu.Unlock()
	switch {
	case on && l != nil:
		return l.Close()
	case !on && l == nil:
		return r.listen(r.addr)
	default:
		return nil
	}
}

// stop rejects new requests and shuts the server down when no request is
// running.
func (r *runner) stop(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	r.leaving = true
	if r.running == 0 {
		close(r.idle)
	}
	go func() {
		defer close(r.stopped)
		<-r.idle
		// Requests that are received during the shutdown are rejected.
		if err := r.server.Shutdown(ctx); err != nil {
			_ = r.server.Close()
		}
	}()
}

// acquireSlot occupies a slot. It reports whether one was free and whether the
// runner is leaving.
func (r *runner) acquireSlot() (ok, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.running >= r.slots {
		return false, r.leaving
	}
	r.running++
	return true, false
}

// releaseSlot frees a slot.
func (r *runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.leaving && r.running == 0 {
		close(r.idle)
	}
}

// swapLast records the ID of the request whose response is sent now and returns
// the previous one.
func (r *runner) swapLast(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.last
	r.last = id
	return last
}

// ServeHTTP runs one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if r.host.faults.trigger(Fail) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	work := r.host.Work
	if v := req.Header.Get(headerWork); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			http.Error(w, "header Work is not a duration", http.StatusBadRequest)
			return
		}
		work = d
	}
	ok, leaving := r.acquireSlot()
	if !ok {
		rejectNotRun(w, leaving)
		return
	}
	defer r.releaseSlot()
	if changed := r.host.faults.freeze(); changed != nil {
		select {
		case r.host.frozenEvents() <- struct{}{}:
		default:
		}
		r.host.wait(changed, 0)
	}
	r.host.record.add(id, req.Header.Get(headerKey))
	r.host.wait(nil, work)
	if r.host.faults.trigger(Late) {
		r.host.wait(nil, r.host.faults.lateDelay())
	}
	r.respond(w, id)
}

// rejectNotRun responds that the request was not run.
func rejectNotRun(w http.ResponseWriter, leaving bool) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	if leaving {
		w.Header().Set(headerLeaving, "true")
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond writes the response, modified by the active faults.
func (r *runner) respond(w http.ResponseWriter, id string) {
	last := r.swapLast(id)
	if r.host.faults.trigger(Lost) {
		closeConnection(w)
		return
	}
	if r.host.faults.trigger(Crossed) {
		id = last
		if id == "" {
			id = "crossed"
		}
		w.Header().Set(headerRequestID, id)
	}
	body, err := json.Marshal(Reply{Host: r.host.Name, Service: r.service, Request: id})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.host.faults.trigger(Truncated) {
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		closeConnection(w)
		return
	}
	_, _ = w.Write(body)
}

// closeConnection closes the connection of a response.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// resetListener resets the connections to which the fault Reset applies.
type resetListener struct {
	net.Listener
	faults *injector
}

// Accept returns the next connection that is not reset.
func (l *resetListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.faults.trigger(Reset) {
			return c, err
		}
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}
