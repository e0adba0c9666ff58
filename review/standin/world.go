package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host name of all routes.
const host = "q.example"

// world is a small deployment: three daemons, the platform, runners and clients.
type world struct {
	rec     *record
	store   *store
	ledger  *ledger
	dir     string // temporary folder
	bin     string // the program of the deploy file
	daemons []*daemon
	status  int // status_s

	storeAddr, cloudAddr, adviceAddr string

	mu       sync.Mutex
	machines []*mach
	lives    int
	jobs     map[string]*jobSpec
	version  int
	behavior behavior
	// allowed returns the runners that may run a step; nil allows all.
	allowed func(step, runner string) bool
	advised map[string]bool // queues with a policy, by prefix
}

type stepSpec struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	Mem        int   `json:"mem-mb"`
	EstimateMS int   `json:"estimate-ms"`
	After      []int `json:"after,omitempty"`
}

type jobSpec struct {
	ID       string     `json:"-"`
	Prefix   string     `json:"-"`
	Spec     string     `json:"spec"`
	Steps    []stepSpec `json:"steps"`
	FirstMS  int64      `json:"first-ms,omitempty"`
	PeriodMS int        `json:"period-ms,omitempty"`
	Repeats  int        `json:"repeats,omitempty"`
}

func newWorld(rec *record, bin, dir string) *world {
	w := &world{rec: rec, dir: dir, bin: bin, status: 120, jobs: make(map[string]*jobSpec), advised: make(map[string]bool)}
	w.store = newStore(rec)
	w.ledger = &ledger{rec: rec, runs: make(map[string][]*taskRun)}
	w.storeAddr, w.cloudAddr = serve(w.store.handler(), w.anyPort()), serve(w.handleMachines(), w.anyPort())
	w.adviceAddr = serve(http.HandlerFunc(w.advise), w.anyPort())
	return w
}

// address returns a loopback address that only this process and its daemons use.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+i)
}

// anyPort returns the address of the platform with a free port.
func (w *world) anyPort() string { return address(0) + ":0" }

// addMachines adds machines with a runner each to a pool.
func (w *world) addMachines(pool string, n int, c resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range n {
		w.lives++
		m := &mach{
			id: fmt.Sprintf("m-%05x", w.lives), pool: pool, zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", 1+i/4),
			capacity: c, state: "up",
		}
		m.runner = w.startRunner(fmt.Sprintf("i-%08x", w.lives), m, w.anyPort())
		w.machines = append(w.machines, m)
	}
}

// spec returns what a task demands.
func (w *world) spec(task string) stepSpec {
	f := strings.Split(task, ".")
	step, _ := strconv.Atoi(f[2])
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[f[0]]; j != nil && step < len(j.Steps) {
		return j.Steps[step]
	}
	return stepSpec{}
}

// fits reports whether a task fits on a runner beside what runs there.
func (w *world) fits(r *runner, task string) bool {
	s := w.spec(task)
	cpu, mem := s.CPU, s.Mem
	for _, x := range r.running {
		t := w.spec(x.Task)
		cpu, mem = cpu+t.CPU, mem+t.Mem
	}
	return cpu <= r.mach.capacity.CPU && mem <= r.mach.capacity.Mem
}

func (w *world) behave(task string, attempt int) (time.Duration, string) {
	if w.behavior != nil {
		return w.behavior(task, attempt)
	}
	return time.Duration(w.spec(task).EstimateMS) * time.Millisecond, "done"
}

func ticket(step, runner string) string { return "t-" + step + "-" + runner }

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *world) ticketValid(task, runner, t string) bool {
	w.mu.Lock()
	j := w.jobs[jobOf(task)]
	needed := j != nil && w.advised[j.Prefix]
	w.mu.Unlock()
	return !needed || t == ticket(stepOf(task), runner)
}

// advise serves the policy: which runners may run a step.
func (w *world) advise(rw http.ResponseWriter, q *http.Request) {
	var c struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := [][]string{}
	for _, id := range c.Workers {
		if w.allowed == nil || w.allowed(c.Step, id) {
			rows = append(rows, []string{id, ticket(c.Step, id)})
		}
	}
	w.rec.add("advice", "step", c.Step, "asked", len(c.Workers), "allowed", rows)
	time.Sleep(10 * time.Millisecond)
	reply(rw, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": 3000})
}

// route is a queue of the configuration.
type route struct {
	Name, Prefix, Service string
	Attempts              int
	Advice                bool
}

// configure writes a configuration as the operator does.
func (w *world) configure(routes []route, services ...string) {
	w.version += 3
	rs, ss := []map[string]any{}, []map[string]any{}
	names := []string{}
	for _, r := range routes {
		x := map[string]any{
			"name": r.Name, "host": host, "prefix": r.Prefix, "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 600,
			"priority": 0, "service": r.Service, "max-attempts": r.Attempts, "stretch": 1.6,
		}
		if r.Advice {
			x["advice"] = map[string]any{"decide-ms": 8, "interval-ms": 1, "valid-ms": 3000}
		}
		w.mu.Lock()
		w.advised[r.Prefix] = r.Advice
		w.mu.Unlock()
		rs, names = append(rs, x), append(names, r.Prefix)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": true, "standby": false,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": rs, "services": ss,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.rec.add("configuration", "version", w.version, "routes", names)
}

var zones = []string{"z1", "z2", "z3"}

// daemon is a process of the program under test.
type daemon struct {
	w     *world
	name  string
	front string
	ready string
	file  string
	args  []string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// settings is the settings file of a process with the bounds of a small site.
const settings = `node = "%[1]s"
role = "entry"
machine-class = "frontend"
serves = ["frontend"]
ip = "%[3]s"
zone = "%[2]s"
region = "r1"
port-range = [7060,7075]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
invariants = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
advice = "%[8]s"
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listen]
front = "%[4]s"
ready = "%[5]s"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
recovery-s = 12
hold-max-ms = 6000
stop-ms = 400
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %[9]d
checkpoint-interval-s = 2
restore-ms = 100
notice-ms = 4500
move-s = 1.5
upkeep-s = 2
fencing = false
lease-ms = 3000
[platform]
addr = "%[6]s"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud]
addr = "%[7]s"
rate-per-s = 64.0
duties = []
duty-rate-s = 64.0
`

// startDaemons starts three daemons and waits until they are ready.
func (w *world) startDaemons() error {
	for i := range 3 {
		name := fmt.Sprintf("frontend-%s-1", zones[i])
		ip := address(1 + i)
		d := &daemon{
			w: w, name: name, front: ip + ":8624", ready: ip + ":8622",
			file: filepath.Join(w.dir, name+".toml"),
			// The default port of the metrics is the same for all daemons.
			args: []string{"entry", "--metrics", ip + ":9464"},
		}
		text := fmt.Sprintf(settings, name, zones[i], ip, d.front, d.ready, w.storeAddr, w.cloudAddr, w.adviceAddr, w.status)
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.await(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.w.bin, d.args...)
	cmd.Env = []string{"GYPSUMTRESTLE_NODE_FILE=" + d.file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.w.dir}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.end = cmd, end
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.w.rec.add("daemon ends", "daemon", d.name, "err", fmt.Sprint(err))
		close(end)
	}()
	d.w.rec.add("daemon starts", "daemon", d.name)
	return nil
}

// await waits until the daemon is ready.
func (d *daemon) await(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready", d.name)
}

// signal sends a signal and waits for the end of the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	cmd, end := d.cmd, d.end
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	d.w.rec.add("signal", "daemon", d.name, "signal", s.String())
	_ = cmd.Process.Signal(s)
	select {
	case <-end:
	case <-time.After(6 * time.Second): // grace-s
		_ = cmd.Process.Kill()
		<-end
	}
}

// restart stops a daemon with SIGTERM and starts it again.
func (d *daemon) restart() error {
	d.signal(syscall.SIGTERM)
	if err := d.start(); err != nil {
		return err
	}
	return d.await(10 * time.Second)
}

// leader returns the daemon whose name is in the leader's key, or nil.
func (w *world) leader() *daemon {
	it, ok := w.store.get("gt/in/leader")
	if !ok {
		return nil
	}
	for _, d := range w.daemons {
		if bytes.Contains(it.Value, []byte(d.name)) {
			return d
		}
	}
	return nil
}

func (w *world) stop() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGKILL)
	}
}

var clientHTTP = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request of a client to a daemon.
func (w *world) call(d *daemon, method, path string, body any) (int, map[string]any) {
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
	q.Host = host
	q.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	resp, err := clientHTTP.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var v map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&v)
	return resp.StatusCode, v
}

// submit hands a job in at the daemons in turn until one accepts it, and reports
// whether one did.
func (w *world) submit(j *jobSpec, limit time.Duration) bool {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	i := 0
	for until := time.Now().Add(limit); time.Now().Before(until); i++ {
		d := w.daemons[i%len(w.daemons)]
		status, _ := w.call(d, http.MethodPost, j.Prefix+j.ID, j)
		w.rec.add("job is handed in", "job", j.ID, "at", d.name, "status", status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at the daemons in turn until one knows.
func (w *world) state(j *jobSpec, limit time.Duration) string {
	i := 0
	for until := time.Now().Add(limit); time.Now().Before(until); i++ {
		d := w.daemons[i%len(w.daemons)]
		status, v := w.call(d, http.MethodGet, j.Prefix+j.ID, nil)
		if status == http.StatusGone || status == http.StatusNotFound {
			return strconv.Itoa(status)
		}
		if s, ok := v["state"].(string); ok && status == http.StatusOK {
			return s
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// awaitState waits until a job has a state and reports whether it came.
func (w *world) awaitState(j *jobSpec, want string, limit time.Duration) bool {
	last := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if last = w.state(j, time.Second); last == want {
			w.rec.add("job is shown", "job", j.ID, "state", last)
			return true
		}
	}
	w.rec.add("job is shown", "job", j.ID, "state", last, "expected", want)
	return false
}
