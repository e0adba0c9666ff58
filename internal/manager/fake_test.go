package manager_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/manager"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

const taskTTL = 30 * time.Second

// world simulates the platform and the daemons of one zone in virtual time. It
// reports each violation of the manager's invariants.
type world struct {
	t  *testing.T
	mu sync.Mutex

	rev         int64
	keys        map[string]etcd.Pair
	leases      map[int64]time.Time
	lostReplies int // number of next map writes that are applied but get no response

	hosts     map[string]*etcd.Host
	tasks     map[string]*etcd.Task
	startedAt map[string]time.Time
	failing   map[string]bool // workers that fail every start
	hanging   map[string]bool // workers on which tasks stay in the starting state
	starts    int
	reboots   int
	versions  []uint64 // of the map, as written
	written   fleet.Map

	version uint64 // of the text
	src     string

	daemons []*daemon
}

// daemon is an entry daemon with its manager.
type daemon struct {
	peer.Daemon
	*manager.Manager
	w                *world
	activeMap        fleet.Map
	partitioned      bool // receives no maps and sends no confirmations
	outstanding      int  // outstanding requests on each draining host
	frozen           chan struct{}
	callsUntilFrozen int // number of calls before frozen takes effect
	stop             context.CancelFunc
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, keys: make(map[string]etcd.Pair), leases: make(map[int64]time.Time), hosts: make(map[string]*etcd.Host),
		tasks: make(map[string]*etcd.Task), startedAt: make(map[string]time.Time), failing: make(map[string]bool), hanging: make(map[string]bool),
	}
}

func (w *world) encode(value any) []byte {
	b, err := json.Marshal(value)
	if err != nil {
		w.t.Error(err)
	}
	return b
}

func (w *world) put(key string, b []byte, lease int64) {
	w.rev++
	p := w.keys[key]
	if p.Created == 0 {
		p.Created = w.rev
	}
	p.Key, p.Value, p.Modified, p.Lease = key, b, w.rev, lease
	w.keys[key] = p
}

func (w *world) expire() {
	for key, p := range w.keys {
		if end, ok := w.leases[p.Lease]; p.Lease != 0 && (!ok || !time.Now().Before(end)) {
			delete(w.keys, key)
		}
	}
	for _, t := range w.tasks {
		if t.State != "stopped" && t.State != "failed" && !time.Now().Before(t.Deadline) {
			t.State = "stopped"
		}
	}
}

func (w *world) lock() func() {
	w.mu.Lock()
	w.expire()
	return w.mu.Unlock
}

// change runs f with the world locked, so that a test can modify it while daemons
// run.
func (w *world) change(f func()) {
	defer w.lock()()
	f()
}

// current returns the map in the store.
func (w *world) current() fleet.Map {
	defer w.lock()()
	return w.written
}

func (w *world) count(pool string, s fleet.State) int {
	n, m := 0, w.current()
	for range m.In(pool, s) {
		n++
	}
	return n
}

// edit stores a new configuration text.
func (w *world) edit(version uint64, src string) {
	defer w.lock()()
	w.version, w.src = version, src
	w.put("/gt/text", w.encode(map[string]any{"version": version, "text": src}), 0)
}

func (w *world) addHost(name, rack string, booted time.Time) {
	defer w.lock()()
	w.hosts[name] = &etcd.Host{
		Name: name, Zone: "a", Rack: rack, Role: "worker", State: etcd.Live, Cores: 16, Memory: 32, Booted: booted,
		Addr: netip.AddrFrom4([4]byte{10, 0, byte(len(w.hosts) / 250), byte(1 + len(w.hosts)%250)}),
	}
}

// start starts a daemon, which runs its manager and confirms the newest map every
// 100 ms.
func (w *world) start(name, start string) *daemon {
	d := &daemon{w: w, Daemon: peer.Daemon{Name: name, Zone: "a", Incarnation: name + "." + start}}
	d.Manager = &manager.Manager{Self: d.Daemon, Store: access{w, d}, Tasks: access{w, d}, State: new(state.Tracker)}
	ctx, cancel := context.WithCancel(w.t.Context())
	d.stop = cancel
	unlock := w.lock()
	w.put("/gt/daemon/a/"+d.Incarnation, w.encode(d.Daemon), 0) // without a lease, which package platform tests
	w.daemons = append(w.daemons, d)
	unlock()
	go func() {
		if err := d.Run(ctx); err != nil {
			w.t.Error(err)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			d.syncState()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return d
}

// syncState activates the newest map and text and confirms the map.
func (d *daemon) syncState() {
	m := d.w.current()
	d.w.mu.Lock()
	if d.partitioned {
		d.w.mu.Unlock()
		return
	}
	d.activeMap = m
	version, src := d.w.version, d.w.src
	out := make(map[string]int)
	for i := range m.Hosts {
		if m.Hosts[i].State == fleet.Draining {
			out[m.Hosts[i].Name] = d.outstanding
		}
	}
	d.State.UpdateMap(&m)
	if _, err := d.State.UpdatePlan(version, []byte(src)); err != nil {
		d.w.t.Error(err)
	}
	to := append([]*daemon(nil), d.w.daemons...)
	d.w.mu.Unlock()
	for _, o := range to {
		o.Receive(d.Daemon, peer.Confirm{Zone: "a", Version: m.Version, Outstanding: out})
	}
}

// crash ends a daemon without a shutdown notice.
func (d *daemon) crash() {
	d.stop()
	<-d.Done()
	defer d.w.lock()()
	for i, o := range d.w.daemons {
		if o == d {
			d.w.daemons = append(d.w.daemons[:i], d.w.daemons[i+1:]...)
			break
		}
	}
}

// access is the platform as one daemon uses it. Calls of a frozen daemon block
// after all checks that precede the call.
type access struct {
	*world
	d *daemon
}

func (a access) enter() func() {
	a.mu.Lock()
	frozen := a.d.frozen
	if a.d.callsUntilFrozen--; a.d.callsUntilFrozen >= 0 {
		frozen = nil
	}
	a.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return a.lock()
}

func (a access) Hosts(context.Context) ([]etcd.Host, error) {
	defer a.enter()()
	var out []etcd.Host
	for _, h := range a.hosts {
		out = append(out, *h)
	}
	return out, nil
}

func (a access) Tasks(context.Context, string) ([]etcd.Task, error) {
	defer a.enter()()
	var out []etcd.Task
	for _, t := range a.tasks {
		h := a.hosts[t.Host]
		if t.State == "starting" && time.Since(a.startedAt[t.ID]) >= time.Second && !a.hanging[t.Host] {
			t.State, t.Addr = "running", netip.AddrPortFrom(h.Addr, 80)
			if a.failing[t.Host] {
				t.State = "failed"
			}
		}
		out = append(out, *t)
	}
	return out, nil
}

func (a access) Usage(context.Context, string) ([]etcd.Usage, error) { return nil, nil }

// StartTask fails the test if a daemon may still send requests of another pool to
// the host, or if another task runs there.
func (a access) StartTask(_ context.Context, id, host, service string, slots int) (etcd.Task, error) {
	defer a.enter()()
	if t := a.tasks[id]; t != nil {
		return *t, nil
	}
	for _, t := range a.tasks {
		if t.Host == host && (t.State == "running" || t.State == "starting") {
			a.t.Errorf("task %s started while task %s runs on the same host", id, t.ID)
		}
	}
	for _, d := range a.daemons {
		if h := d.activeMap.Host(host); h != nil && d.activeMap.HasMember(d.Incarnation) && h.State == fleet.Serving && h.Pool != service {
			a.t.Errorf("task %s of %s started while daemon %s may send requests of %s (map %d)", id, service, d.Incarnation, h.Pool, d.activeMap.Version)
		}
	}
	a.starts++
	a.startedAt[id] = time.Now()
	a.tasks[id] = &etcd.Task{ID: id, Host: host, Service: service, Slots: slots, State: "starting", Deadline: time.Now().Add(taskTTL)}
	return *a.tasks[id], nil
}

func (a access) RenewTasks(_ context.Context, ids []string) error {
	defer a.enter()()
	for _, id := range ids {
		if t := a.tasks[id]; t != nil {
			t.Deadline = time.Now().Add(taskTTL)
		}
	}
	return nil
}

// StopTask fails the test if a daemon may still send requests to the task.
func (a access) StopTask(_ context.Context, id string) error {
	defer a.enter()()
	t := a.tasks[id]
	if t == nil {
		return &gateway.StatusError{HTTP: 404, Message: "task " + id}
	}
	for _, d := range a.daemons {
		if h := d.activeMap.Host(t.Host); h != nil && d.activeMap.HasMember(d.Incarnation) && h.State == fleet.Serving && h.Task == id && t.State == "running" {
			a.t.Errorf("task %s stopped while daemon %s may send it requests (map %d)", id, d.Incarnation, d.activeMap.Version)
		}
	}
	t.State = "stopped"
	return nil
}

func (a access) Reboot(_ context.Context, host string) error {
	defer a.enter()()
	for _, t := range a.tasks {
		if t.Host == host && (t.State == "running" || t.State == "starting") {
			a.t.Errorf("host %s rebooted while task %s runs on it", host, t.ID)
		}
	}
	a.reboots++
	time.AfterFunc(3*time.Minute, func() {
		defer a.lock()()
		a.hosts[host].Booted = time.Now()
	})
	return nil
}

// fleetText returns a configuration text for one zone.
func fleetText(web, spare int) string {
	return fmt.Sprintf(`zones = ["a"]
weigh = "rollout"
[maintenance]
every = "336h"
hold = 1
[[service]]
name = "web"
runners = %d
floor = 1
budget = 0.999
limit = "2s"
[[service]]
name = "rest"
spare = true
runners = %d
floor = 1
budget = 0.99
limit = "5s"
`, web, spare)
}
