package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// fault is the behavior of a runner on one connection.
type fault string

const (
	works            fault = "works"
	refuses          fault = "refuses"    // refuses the connection
	readsNothing     fault = "deaf"       // reads nothing until released
	readsOneByte     fault = "half"       // reads one byte until released
	answersOnRelease fault = "holds"      // runs the request and responds once released
	closesUnread     fault = "dies"       // closes the connection before reading
	closesAfterByte  fault = "dies-half"  // closes after one byte
	closesAfterRun   fault = "dies-after" // runs the request and closes without a response
	busy             fault = "busy"
	shutsDown        fault = "leaves"
	wrongID          fault = "crossed"
	truncated        fault = "truncated"
	unframed         fault = "unframed"
)

var faults = []fault{works, works, works, refuses, readsNothing, readsOneByte, answersOnRelease, closesUnread, closesAfterByte, closesAfterRun, busy, shutsDown, wrongID, truncated, unframed}

// world is a simulation of one or two daemons and a pool of runners. It records
// which requests ran.
type world struct {
	daemons  []*Dispatcher
	claims   []*claim.Claimer
	released chan struct{} // closed to end readsNothing, readsOneByte and answersOnRelease
	crashed  chan struct{} // closed to close all connections
	traces   []*trace.Recorder
	files    []*bytes.Buffer

	randomCount atomic.Uint64
	mu          sync.Mutex
	faults      []fault        // of the next connections; works after the last
	dropped     []bool         // whether the next messages are lost; none after the last
	runs        map[string]int // by request ID and by key
	sent        int            // connections, including refused ones
}

const zone, service = "a", "ascent"

func newWorld(daemons, runners int) *world {
	w := &world{released: make(chan struct{}), crashed: make(chan struct{}), runs: make(map[string]int)}
	for i := range daemons {
		w.add(fmt.Sprintf("d%d.1", i+1), runners)
	}
	return w
}

// random returns the next number of a fixed, evenly distributed sequence.
func (w *world) random() uint64 { return w.randomCount.Add(1) * 0x9e3779b97f4a7c15 }

func view(runners int, roster ...string) *state.View {
	m := &fleet.Map{Zone: zone, Version: 1}
	for _, inc := range roster {
		m.Roster = append(m.Roster, fleet.Member{Name: inc, Zone: zone, Incarnation: inc})
	}
	for i := range runners {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		m.Hosts = append(m.Hosts, fleet.Host{Name: fmt.Sprintf("h%d", i+1), Pool: service, State: fleet.Serving, Task: "t", Addr: addr, Slots: 1})
	}
	t := &text.Text{Services: []text.Service{{Name: service, Share: [text.Classes]int{50, 35, 15}}}}
	return &state.View{PlanVersion: 1, Text: t, Maps: map[string]*fleet.Map{zone: m}}
}

func (w *world) add(inc string, runners int) {
	b := new(bytes.Buffer)
	rec := &trace.Recorder{Daemon: inc, W: b, Logger: log.NewNopLogger()}
	pools := &pool.Table{Zone: zone, Self: inc, Picker: &route.Picker{Zone: zone, Random: w.random}}
	c := &claim.Claimer{Self: inc, Mesh: lossyMesh{w, inc}}
	pools.Set(view(runners, inc), time.Now())
	w.daemons = append(w.daemons, &Dispatcher{Pools: pools, Exchange: &backend.Client{Dial: w.dial}, Claims: c, Trace: rec})
	w.claims, w.traces, w.files = append(w.claims, c), append(w.traces, rec), append(w.files, b)
}

// lossyMesh sends claim messages of one daemon to the others and drops those
// selected by world.dropped.
type lossyMesh struct {
	w    *world
	from string
}

func (l lossyMesh) Send(to string, m peer.Message) error {
	l.w.mu.Lock()
	lost := false
	if len(l.w.dropped) > 0 {
		lost, l.w.dropped = l.w.dropped[0], l.w.dropped[1:]
	}
	l.w.mu.Unlock()
	for i, c := range l.w.claims {
		if l.w.traces[i].Daemon == to && !lost {
			go c.Receive(peer.Daemon{Incarnation: l.from}, m)
		}
	}
	return nil
}

func (w *world) nextFault() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if len(w.faults) == 0 {
		return works
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

func (w *world) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	f := w.nextFault()
	if f == refuses {
		return nil, errors.New("dial runner: connection refused")
	}
	c, s := net.Pipe()
	go w.serve(s, f)
	return c, nil
}

// serve handles one request on a connection and closes it.
func (w *world) serve(c net.Conn, f fault) {
	defer func() { _ = c.Close() }()
	go func() {
		<-w.crashed
		_ = c.Close()
	}()
	var first [1]byte
	var from io.Reader = c
	switch f {
	case closesUnread:
		return
	case readsNothing:
		if !w.waitReleased() {
			return
		}
	case readsOneByte, closesAfterByte:
		_, _ = io.ReadFull(c, first[:])
		if f == closesAfterByte || !w.waitReleased() {
			return
		}
		from = io.MultiReader(bytes.NewReader(first[:]), c)
	}
	r, err := http.ReadRequest(bufio.NewReader(from))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.respond(c, f, r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), body)
}

// waitReleased waits until the runners are released or crash. It reports whether
// they were released.
func (w *world) waitReleased() bool {
	select {
	case <-w.released:
		return true
	case <-w.crashed:
		return false
	}
}

func (w *world) respond(c net.Conn, f fault, id, key string, body []byte) {
	const rejection = "HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nOutcome: not-run\r\nLeaving: %t\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if f == busy || f == shutsDown {
		_, _ = fmt.Fprintf(c, rejection, id, f == shutsDown)
		return
	}
	w.mu.Lock()
	request, _, _ := strings.Cut(id, ".") // the daemon appends the number of the exchange
	w.runs[request]++
	if key != "" {
		w.runs[key]++
	}
	w.mu.Unlock()
	frame := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch f {
	case closesAfterRun:
		return
	case answersOnRelease:
		if !w.waitReleased() {
			return
		}
	case wrongID:
		id, body = "other", bytes.Repeat([]byte("x"), len(body))
	case truncated:
		body = body[:len(body)/2]
	case unframed:
		frame = ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sConnection: close\r\n\r\n%s", id, frame, body)
}

// closeAll closes all connections.
func (w *world) closeAll() {
	select {
	case <-w.crashed:
	default:
		close(w.crashed)
	}
}

// job returns a request whose response has the same body.
func job(id, key string, idempotent bool, deadline time.Time) *Job {
	r := &backend.Request{ID: id, Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("for " + id + key), Deadline: deadline}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
		r.Body = []byte("for " + key)
	}
	return &Job{Service: service, Class: text.Normal, Key: key, Idempotent: idempotent, Request: r}
}

// events returns the traces of all daemons, merged.
func (w *world) events(t testing.TB) []trace.Event {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var rs []io.Reader
	for i, r := range w.traces {
		if err := r.Run(ctx); err != nil {
			t.Fatal(err)
		}
		rs = append(rs, w.files[i])
	}
	events, err := trace.Read(rs...)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// check compares a caller's result with the recorded runs. It returns the
// violation, or an empty string.
func (w *world) check(j *Job, res *Result) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := j.Request.ID
	switch {
	case res.Outcome == backend.NotRun && w.runs[id] > 0:
		return "told not-run, but ran"
	case !j.Idempotent && w.runs[id] > 1:
		return "ran twice"
	case j.Key != "" && w.runs[j.Key] > 1:
		return "key ran twice"
	case res.Outcome == backend.Answered && !bytes.Equal(res.Response.Body, j.Request.Body):
		return fmt.Sprintf("answered with %q", res.Response.Body)
	}
	return ""
}
