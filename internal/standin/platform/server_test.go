package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
)

// control serves the control address of a host. A stop of its runner returns
// after the test has closed finish.
type control struct {
	mu     sync.Mutex
	calls  []string
	finish chan struct{}
	fail   atomic.Bool
}

func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var l standin.Launch
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	c.mu.Lock()
	c.calls = append(c.calls, strings.TrimSpace(fmt.Sprintln(r.Method, r.URL.Path, l.ID, l.Service, l.Slots)))
	c.mu.Unlock()
	switch {
	case c.fail.Load():
		http.Error(w, "no", http.StatusInternalServerError)
	case r.Method == http.MethodDelete:
		<-c.finish
	default:
		w.Write([]byte(`{"addr":"127.0.0.1:4000"}`))
	}
}

type fixture struct {
	*etcd.Client
	t       *testing.T
	server  *standin.Server
	control *control
	clock   atomic.Int64
}

func serve(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, control: &control{finish: make(chan struct{})}}
	backend := httptest.NewServer(f.control)
	t.Cleanup(backend.Close)
	addr := netip.MustParseAddrPort(backend.Listener.Addr().String())
	f.server = &standin.Server{Now: f.now, TaskTTL: time.Minute}
	srv := httptest.NewServer(f.server.Handler([]standin.Host{
		{Host: etcd.Host{Name: "w1", Zone: "waco", Role: "worker", Addr: addr.Addr(), Cores: 16}, Control: addr},
		{Host: etcd.Host{Name: "w2", Zone: "austin", Role: "worker"}, Control: addr},
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(f.server.Close)
	u, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	f.Client = &etcd.Client{URL: u, Zone: "waco", Timeout: time.Minute, Budget: gateway.Budget{Writes: rate.Inf, Reads: rate.Inf}}
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) now() time.Time { return time.Unix(1e9, f.clock.Load()).UTC() }

func (f *fixture) advance(d time.Duration) {
	f.clock.Add(int64(d))
	f.server.Tick()
}

// put sends a call by which the test controls the stand-in.
func (f *fixture) put(path, body string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, f.URL.JoinPath(path).String(), bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // only the status is used
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("PUT %s: %s", path, resp.Status)
	}
}

func (f *fixture) task(id string) etcd.Task {
	f.t.Helper()
	tasks, err := f.Tasks(f.t.Context(), "waco")
	i := slices.IndexFunc(tasks, func(t etcd.Task) bool { return t.ID == id })
	if err != nil || i < 0 {
		f.t.Fatalf("Tasks = %+v, %v, want %s", tasks, err, id)
	}
	return tasks[i]
}

// await reads a task repeatedly until it has the given state.
func (f *fixture) await(id, state string) etcd.Task {
	f.t.Helper()
	for {
		if t := f.task(id); t.State == state {
			return t
		}
	}
}

// TestTasks guards against a second runner for a repeated start, a stop that
// returns before the runner's requests have finished, and a failed start that
// is not reported.
func TestTasks(t *testing.T) {
	f := serve(t)
	ctx := t.Context()
	for range 2 {
		if _, err := f.StartTask(ctx, "t1", "w1", "ascent", 8); err != nil {
			t.Fatal(err)
		}
		if got := f.await("t1", "running"); got.Addr != netip.MustParseAddrPort("127.0.0.1:4000") || !got.Deadline.Equal(f.now().Add(time.Minute)) {
			t.Errorf("task %+v", got)
		}
	}
	if _, err := f.StartTask(ctx, "t1", "w1", "beta", 8); err == nil || isUnknown(err) {
		t.Errorf("StartTask with a different service = %v", err)
	}
	if err := errors.Join(f.CheckpointTask(ctx, "t1"), f.ThrottleTask(ctx, "t1", 0.5)); err != nil {
		t.Error(err)
	}
	if err := f.ThrottleTask(ctx, "t1", 2); err == nil || isUnknown(err) {
		t.Errorf("ThrottleTask = %v", err)
	}
	if err := f.Reboot(ctx, "w1"); err == nil || isUnknown(err) {
		t.Errorf("Reboot of a host with an active task = %v", err)
	}
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if err := f.StopTask(short, "t1"); err == nil {
		t.Error("StopTask returned before the runner ended")
	}
	if got := f.task("t1"); got.State != "running" {
		t.Errorf("task state %s before the runner ended", got.State)
	}
	close(f.control.finish)
	if err := f.StopTask(ctx, "t1"); err != nil {
		t.Error(err)
	}
	if got := f.task("t1"); got.State != "stopped" {
		t.Errorf("task state %s after StopTask", got.State)
	}
	f.control.fail.Store(true)
	if _, err := f.StartTask(ctx, "t2", "w1", "ascent", 8); err != nil {
		t.Error(err)
	}
	f.await("t2", "failed")
	want := []string{"POST /tasks t1 ascent 8", "DELETE /tasks/t1   0", "POST /tasks t2 ascent 8"}
	if !slices.Equal(f.control.calls, want) {
		t.Errorf("calls to the control address %q, want %q", f.control.calls, want)
	}
}

// TestTaskLease guards against tasks that continue without a renewal, or stop
// despite one.
func TestTaskLease(t *testing.T) {
	f := serve(t)
	close(f.control.finish)
	ctx := t.Context()
	for _, id := range []string{"t1", "t2"} {
		if _, err := f.StartTask(ctx, id, "w1", "ascent", 8); err != nil {
			t.Fatal(err)
		}
		f.await(id, "running")
	}
	f.advance(59 * time.Second)
	if err := f.RenewTasks(ctx, []string{"t1", "none"}); err != nil {
		t.Error(err)
	}
	f.advance(59 * time.Second)
	f.await("t2", "stopped")
	if got := f.task("t1"); got.State != "running" {
		t.Errorf("state of the renewed task = %s", got.State)
	}
	f.put("hosts/w1", `{"state":"gone"}`)
	if got := f.task("t1"); got.State != "failed" {
		t.Errorf("state of a task on a gone host = %s", got.State)
	}
}

// TestHostList guards against a host list or usage that ignores the configured
// lag, and a reboot that does not change the boot time.
func TestHostList(t *testing.T) {
	f := serve(t)
	host := func() etcd.Host {
		t.Helper()
		hosts, err := f.Hosts(t.Context())
		if err != nil || len(hosts) != 2 {
			t.Fatalf("Hosts = %+v, %v", hosts, err)
		}
		return hosts[0]
	}
	booted := host().Booted
	f.put("faults", `{"lag":"10s"}`)
	f.advance(time.Minute)
	f.put("hosts/w1", `{"state":"leaving"}`)
	f.advance(9 * time.Second)
	if h := host(); h.State != etcd.Live || h.Cores != 16 || !h.Booted.Equal(booted) {
		t.Errorf("host %+v before the lag has passed", h)
	}
	f.advance(time.Second)
	if h := host(); h.State != etcd.Leaving {
		t.Errorf("host state %s after the lag has passed", h.State)
	}
	at := f.now()
	if err := f.Reboot(t.Context(), "w1"); err != nil {
		t.Error(err)
	}
	f.advance(10 * time.Second)
	if h := host(); !h.Booted.Equal(at) {
		t.Errorf("booted %v, want %v", h.Booted, at)
	}
	f.put("usage", `[{"host":"w1","cores":3},{"host":"w2","cores":4}]`)
	usage, err := f.Usage(t.Context(), "waco")
	if err != nil || len(usage) != 1 || usage[0].Cores != 3 || !usage[0].At.Equal(at) {
		t.Errorf("Usage = %+v, %v", usage, err)
	}
}

// TestFaults guards against a frozen write that never takes effect, although a
// store that was only paused executes such a write later, and against faults
// that are not counted.
func TestFaults(t *testing.T) {
	f := serve(t)
	f.put("faults", `{"freeze":true,"path":"/v3/kv/put"}`)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.server.Faults.Status().Counts.Frozen == 0 {
			runtime.Gosched()
		}
		cancel()
	}()
	if _, err := f.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: "/k", Value: []byte("v")}}}); !isUnknown(err) {
		t.Errorf("Do while writes are frozen = %v", err)
	}
	if p, err := f.Get(t.Context(), "/k"); err != nil || p.Key != "" {
		t.Errorf("Get = %+v, %v", p, err)
	}
	f.put("faults", `{"delay":"1ms","refuse":true,"path":"/hosts"}`)
	if err := f.Watch(t.Context(), "/k", 0, func(etcd.Event) {
		f.server.Faults.Set(faults.Faults{CutZones: []string{"waco"}})
	}); err == nil {
		t.Error("Watch from a cut zone returned no error")
	}
	f.put("faults", `{"delay":"1ms","refuse":true,"path":"/hosts"}`)
	if _, err := f.Hosts(t.Context()); err == nil {
		t.Error("Hosts succeeded although the call is refused")
	}
	want := faults.Counts{Reads: 2, Writes: 1, Watches: 1, Delayed: 1, Refused: 1, Frozen: 1}
	if got := f.server.Faults.Status().Counts; got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// TestLeaseExpiry guards against leases that do not expire while their holder
// is paused, and against an expired lease that deletes a key that was written
// again under a later lease.
func TestLeaseExpiry(t *testing.T) {
	f := serve(t)
	ctx := t.Context()
	grant := func() int64 {
		t.Helper()
		id, err := f.Grant(ctx, 6)
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	write := func(key string, lease int64) error {
		_, err := f.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: key, Lease: lease}}})
		return err
	}
	l1 := grant()
	if err := errors.Join(write("/a", l1), write("/b", l1)); err != nil {
		t.Fatal(err)
	}
	f.advance(5 * time.Second)
	l2 := grant()
	if err := errors.Join(f.KeepAlive(ctx, l1), write("/b", l2)); err != nil {
		t.Fatal(err)
	}
	f.advance(5 * time.Second)
	if err := f.KeepAlive(ctx, l2); err != nil {
		t.Error(err)
	}
	f.advance(time.Second)
	if err := f.KeepAlive(ctx, l1); !errors.Is(err, etcd.ErrNoLease) {
		t.Errorf("KeepAlive of an expired lease = %v", err)
	}
	if err := write("/a", l1); !errors.Is(err, etcd.ErrNoLease) || isUnknown(err) {
		t.Errorf("write under an expired lease = %v", err)
	}
	if ps, _, err := f.List(ctx, "/"); err != nil || len(ps) != 1 || ps[0].Key != "/b" || ps[0].Lease != l2 {
		t.Errorf("List = %+v, %v", ps, err)
	}
	if err := errors.Join(f.Revoke(ctx, l2), f.Revoke(ctx, l2)); err != nil {
		t.Error(err)
	}
	var deleted []string
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.Watch(ctx, "/", 0, func(e etcd.Event) {
		if e.Deleted {
			deleted = append(deleted, e.Key)
		}
		if e.Deleted && e.Key == "/b" {
			cancel()
		}
	}); !errors.Is(err, context.Canceled) || !slices.Equal(deleted, []string{"/a", "/b"}) {
		t.Errorf("Watch = %v, deleted %q", err, deleted)
	}
}

func isUnknown(err error) bool {
	var u *etcd.UnknownError
	return errors.As(err, &u)
}
