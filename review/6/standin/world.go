// Command standin2 plays the cases of the second review: it starts daemons of
// the project as processes and is the platform, the runners, the operator and the
// clients for them, on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	capacityCPU = 16000
	capacityMem = 32768
)

// kind is what the tasks of one step need and do.
type kind struct {
	cpu, mem int
	takes    time.Duration
	lasts    bool
	// failFirst is set if the first run of each task ends as failed.
	failFirst bool
}

// event is what a runner saw of a task.
type event struct {
	at      time.Time
	runner  string
	task    string
	attempt int
	what    string // start, noted, or how it ended
}

type machine struct {
	id, pool, rack string
	state          string
	runner         *runner
	upkeeps        map[int]time.Time // by wave: when the upkeep began
}

type world struct {
	start    time.Time
	trouble  bool
	store    *store
	base     string // first three bytes of the loopback addresses
	dir      string
	bin      string
	record   *os.File
	recordMu sync.Mutex

	mu          sync.Mutex
	runnerCount int
	runners     map[string]*runner
	machines    map[string]*machine
	order       []string // of the machines
	waves       map[int]map[string]bool
	kinds       map[string]*kind // by ID.STEP
	events      []event
	daemons     []*daemon

	storeAddr, cloudAddr string
}

func newWorld(out string) *world {
	w := &world{
		start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(4 * time.Millisecond),
		runners: map[string]*runner{}, machines: map[string]*machine{}, waves: map[int]map[string]bool{}, kinds: map[string]*kind{},
	}
	var err error
	if w.record, err = os.Create(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if w.dir, err = os.MkdirTemp("", "standin2-"); err != nil {
		w.broken("%v", err)
	}
	if w.bin, err = filepath.Abs("target/gypsumtrestle"); err != nil {
		w.broken("%v", err)
	}
	pid := os.Getpid()
	w.base = fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250)
	w.storeAddr = w.serve(w.store.handler())
	m := http.NewServeMux()
	m.HandleFunc("GET /api/machines", w.listMachines)
	m.HandleFunc("POST /api/machine-move", w.moveMachine)
	m.HandleFunc("POST /api/machine-upkeep", w.upkeepMachine)
	w.cloudAddr = w.serve(m)
	return w
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.base, n) }

func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", w.ip(1)+":0")
	if err != nil {
		w.broken("listen: %v", err)
	}
	go http.Serve(l, h) //nolint:errcheck // it ends with the process
	return l.Addr().String()
}

func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes and exits.
func (w *world) finish(code int) {
	for _, d := range w.daemons {
		d.kill()
	}
	os.RemoveAll(w.dir)
	os.Exit(code)
}

// broken ends a case that could not run.
func (w *world) broken(format string, args ...any) {
	w.logf("the case could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	w.finish(2)
}

// verdict ends a case.
func (w *world) verdict(violations []string) {
	for _, v := range violations {
		w.logf("RULE BROKEN: %s", v)
		fmt.Println("rule broken:", v)
	}
	if len(violations) > 0 {
		w.finish(1)
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	w.finish(0)
}

// taskEnded and the next two are called with the lock of the runner.
func (w *world) taskEnded(r *runner, task string, attempt int, how string) {
	w.note(event{time.Now(), r.id, task, attempt, how})
}

func (w *world) endNoted(r *runner, e *ended) {
	w.note(event{time.Now(), r.id, e.task, e.attempt, "noted " + e.how})
}

func (w *world) taskStarted(r *runner, task string, attempt int) {
	w.note(event{time.Now(), r.id, task, attempt, "start"})
}

func (w *world) note(e event) {
	w.mu.Lock()
	w.events = append(w.events, e)
	w.mu.Unlock()
	w.logf("%s attempt %d on %s: %s", e.task, e.attempt, e.runner, e.what)
}

func (w *world) allEvents() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]event(nil), w.events...)
}

// hasEnded reports whether a run of a task has ended.
func (w *world) hasEnded(task string) bool {
	for _, e := range w.allEvents() {
		if e.task == task && e.what != "start" {
			return true
		}
	}
	return false
}

// kindOf returns the kind of a task ID.K.STEP.INDEX.
func (w *world) kindOf(task string) *kind {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds[f[0]+"."+f[2]]
}

// addMachine adds a machine with its runner.
func (w *world) addMachine(id, pool, rack string) *machine {
	m := &machine{id: id, pool: pool, rack: rack, state: "up", upkeeps: map[int]time.Time{}}
	r := newRunner(w, m)
	w.mu.Lock()
	m.runner = r
	w.machines[id] = m
	w.order = append(w.order, id)
	w.mu.Unlock()
	return m
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	rows := []map[string]any{}
	for _, id := range w.order {
		m := w.machines[id]
		runner := ""
		if m.runner != nil {
			runner = m.runner.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack}, "id": runner,
			"capacity": map[string]int{"cpu": capacityCPU, "mem-mb": capacityMem, "gpu": 0},
		})
	}
	w.mu.Unlock()
	reply(rw, 200, map[string]any{"machines": rows, "next-token": ""})
}

// restartMachine ends the runner of a machine; after a time, a new one joins.
func (w *world) restartMachine(m *machine, state, why string, down time.Duration) {
	w.mu.Lock()
	old := m.runner
	m.runner, m.state = nil, state
	w.mu.Unlock()
	if old != nil {
		old.kill(why)
	}
	time.AfterFunc(down, func() {
		r := newRunner(w, m)
		w.mu.Lock()
		m.runner, m.state = r, "up"
		w.mu.Unlock()
		w.logf("machine %s is up with runner %s", m.id, r.id)
	})
}

func (w *world) moveMachine(rw http.ResponseWriter, q *http.Request) {
	var o struct{ Machine, Pool string }
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		rw.WriteHeader(400)
		return
	}
	w.mu.Lock()
	m := w.machines[o.Machine]
	busy := m != nil && m.state != "up"
	same := m != nil && m.pool == o.Pool
	w.mu.Unlock()
	switch {
	case m == nil:
		rw.WriteHeader(400)
	case same:
		reply(rw, 200, struct{}{})
	case busy:
		reply(rw, 409, map[string]string{"reason": "busy"})
	default:
		w.logf("machine %s moves to %s (holder %s, token %s)", o.Machine, o.Pool, q.Header.Get("Lease-Holder"), q.Header.Get("Fencing-Token"))
		w.mu.Lock()
		m.pool = o.Pool
		w.mu.Unlock()
		w.restartMachine(m, "moving", "move", 1500*time.Millisecond)
		reply(rw, 200, struct{}{})
	}
}

func (w *world) upkeepMachine(rw http.ResponseWriter, q *http.Request) {
	var o struct {
		Machine string
		Wave    int
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		rw.WriteHeader(400)
		return
	}
	w.mu.Lock()
	m := w.machines[o.Machine]
	of := w.waves[o.Wave][o.Machine]
	var begun, busy bool
	if m != nil {
		_, begun = m.upkeeps[o.Wave]
		busy = m.state != "up"
	}
	if m != nil && of && !begun && !busy {
		m.upkeeps[o.Wave] = time.Now()
	}
	w.mu.Unlock()
	switch {
	case m == nil:
		rw.WriteHeader(400)
	case !of:
		reply(rw, 409, map[string]string{"reason": "wave"})
	case begun:
		reply(rw, 200, struct{}{})
	case busy:
		w.logf("upkeep of %s in wave %d: busy, it is %s", o.Machine, o.Wave, m.state)
		reply(rw, 409, map[string]string{"reason": "busy"})
	default:
		w.logf("upkeep of %s in wave %d begins (holder %s, token %s)", o.Machine, o.Wave, q.Header.Get("Lease-Holder"), q.Header.Get("Fencing-Token"))
		w.restartMachine(m, "upkeep", "upkeep", 2*time.Second)
		reply(rw, 200, struct{}{})
	}
}

// sendWave requests a wave as the operator.
func (w *world) sendWave(n int, machines []string, deadline float64, cap int) {
	of := map[string]bool{}
	for _, m := range machines {
		of[m] = true
	}
	w.mu.Lock()
	w.waves[n] = of
	w.mu.Unlock()
	w.store.put(fmt.Sprintf("op/wave/%d", n), map[string]any{"wave": n, "machines": machines, "deadline-s": deadline, "cap": cap})
	w.logf("operator requests wave %d: %d machines, %d at once, in %v s", n, len(machines), cap, deadline)
}

func (w *world) waveState(n int) string {
	it, ok := w.store.get(fmt.Sprintf("status/wave/%d", n))
	if !ok {
		return ""
	}
	var s struct{ State string }
	_ = json.Unmarshal(it.Value, &s)
	return s.State
}

// route is a queue of the configuration.
type route struct {
	name, service string
	attempts      int
}

// configure writes a configuration as the operator.
func (w *world) configure(version int, routes []route, services []string) {
	rs, ss := []map[string]any{}, []map[string]any{}
	for i, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": "q.example", "prefix": "/" + r.name + "/", "timeout-ms": 3000, "target-latency-ms": 600,
			"priority": i, "service": r.service, "max-attempts": r.attempts, "stretch": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health-path": "/healthz", "admission-check": true})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

type daemon struct {
	name, ip, front, ready string
	cmd                    *exec.Cmd
	done                   chan struct{}
}

func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.done
}

const settings = `node = "%[1]s"
role = "entry"
machine-class = "frontend"
serves = ["frontend"]
ip = "%[2]s"
zone = "z1"
region = "r"
port-range = [21500,21515]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
orders = "call"
[zones]
z1 = "r"
[listen]
front = "%[2]s:21520"
ready = "%[2]s:21521"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
hold-max-ms = 6000
stop-ms = 400
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice-ms = 4500
move-s = 1.5
upkeep-s = 2
fencing = false
lease-ms = 3000
[platform]
addr = "%[3]s"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud]
addr = "%[4]s"
rate-per-s = 64.0
duties = []
duty-rate-s = 64.0
`

// launch starts the process of a daemon.
func (w *world) launch(d *daemon) {
	out, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.broken("%v", err)
	}
	// Several daemons run on one machine, so that each has its own metrics address.
	cmd := exec.Command(w.bin, "entry", "--metrics", d.ip+":9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "GYPSUMTRESTLE_NODE_FILE=" + filepath.Join(w.dir, d.name+".toml")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.broken("start of a daemon: %v", err)
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}()
}

// stopAndStart sends SIGTERM to a daemon and starts it again once it has ended.
func (w *world) stopAndStart(d *daemon) {
	w.logf("SIGTERM to %s", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(6 * time.Second): // grace-s
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	w.launch(d)
	w.logf("%s is started again", d.name)
}

// leader returns the daemon that wrote to the store last under a condition on its
// own key, as the value of that key says.
func (w *world) leader() *daemon {
	it, _ := w.store.get("gt/in/leader")
	for _, d := range w.daemons {
		if bytes.Contains(it.Value, []byte(d.name)) {
			return d
		}
	}
	return nil
}

// startDaemons starts daemons and waits until they are ready.
func (w *world) startDaemons(n int) {
	for i := range n {
		ip := w.ip(10 + i)
		d := &daemon{name: fmt.Sprintf("frontend-z1-%d", i+1), ip: ip, front: ip + ":21520", ready: ip + ":21521"}
		if err := os.WriteFile(filepath.Join(w.dir, d.name+".toml"), fmt.Appendf(nil, settings, d.name, ip, w.storeAddr, w.cloudAddr), 0o600); err != nil {
			w.broken("%v", err)
		}
		w.daemons = append(w.daemons, d)
		w.launch(d)
	}
	for _, d := range w.daemons {
		if !waitFor(15*time.Second, func() bool {
			resp, err := http.Get("http://" + d.ready + "/api/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 200
		}) {
			w.broken("%s is not ready", d.name)
		}
	}
	w.logf("%d daemons are ready", n)
}

// keepLogs copies the logs of the daemons beside the record, if LOGS is set.
func (w *world) keepLogs() {
	if to := os.Getenv("LOGS"); to != "" {
		for _, d := range w.daemons {
			b, _ := os.ReadFile(filepath.Join(w.dir, d.name+".log"))
			_ = os.WriteFile(filepath.Join(to, d.name+".log"), b, 0o600)
		}
	}
}

func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends one request of a client to one daemon.
func (w *world) call(d *daemon, method, path string, body any) (int, []byte, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		r = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, "http://"+d.front+path, r)
	if err != nil {
		panic(err)
	}
	q.Host = "q.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", "3000")
	resp, err := client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// submit hands in a job and repeats it until it is accepted. Each step is given
// with its kind.
func (w *world) submit(queue, id string, steps []map[string]any, kinds []*kind) {
	w.mu.Lock()
	for i, k := range kinds {
		w.kinds[fmt.Sprintf("%s.%d", id, i)] = k
	}
	w.mu.Unlock()
	for i := range 40 {
		d := w.daemons[i%len(w.daemons)]
		status, _, err := w.call(d, "POST", "/"+queue+"/"+id, map[string]any{"spec": "job " + id, "steps": steps})
		w.logf("client hands in %s/%s at %s: %d %v", queue, id, d.name, status, err)
		if status/100 == 2 {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.broken("job %s is not accepted", id)
}

// state asks for the state of a job.
func (w *world) state(queue, id string) (string, error) {
	for i := range 3 {
		d := w.daemons[i%len(w.daemons)]
		status, b, err := w.call(d, "GET", "/"+queue+"/"+id, nil)
		if err != nil || status != 200 {
			if status == 410 {
				return "410", nil
			}
			continue
		}
		var s struct{ State string }
		if err := json.Unmarshal(b, &s); err != nil {
			return "", err
		}
		return s.State, nil
	}
	return "", errors.New("no answer")
}

// runnersWith returns the runners that run a task.
func (w *world) runnersWith(task string) []*runner {
	w.mu.Lock()
	rs := []*runner{}
	for _, r := range w.runners {
		rs = append(rs, r)
	}
	w.mu.Unlock()
	found := []*runner{}
	for _, r := range rs {
		r.mu.Lock()
		if r.running[task] != nil {
			found = append(found, r)
		}
		r.mu.Unlock()
	}
	return found
}
