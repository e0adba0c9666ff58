package intaketest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
)

const (
	// memoryMB is the memory of the host in the settings of the tests. A process
	// without callers uses about a third of it.
	memoryMB = 64
	// maxFDs is the number of descriptors in the settings of the tests, and
	// fileFDs how many of them are reserved for files.
	maxFDs  = 400
	fileFDs = 200
	// maxConnections is the connection limit of serve in the tests.
	maxConnections = 100
	maxBody        = 262144
	pollInterval   = 20 * time.Millisecond
	startTimeout   = 60 * time.Second
	queueHost      = "crowd.test"
	// storeDelay is how long the store takes for a transaction. Accepted bodies
	// overlap for this time, however fast the machine is.
	storeDelay = 500 * time.Millisecond
)

// settings is the settings file of entry.
const settings = `node = "host"
ip = "127.0.0.1"
zone = "a"
port-range = [%d,%d]
orders = "call"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu-share = 0.8
cores = 1
memory-mb = %d
max-fds = %d
link-mbps = 200.0
[bounds]
hold-max-ms = 6000
grace-s = 6
status_s = 120
[platform]
addr = "%s"
form = "kv"
`

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// program builds the program once and returns its path.
func program(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		if buildDir, buildErr = os.MkdirTemp("", "intaketest"); buildErr != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", buildDir, "../../../cmd/gypsumtrestle").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return filepath.Join(buildDir, "gypsumtrestle")
}

// process is a running daemon.
type process struct {
	t       *testing.T
	pid     int
	callers netip.AddrPort
	exited  chan struct{}
	// url and method of an ordinary request, which is answered with status 200.
	method, path string
	host         string
	// memoryMB is the memory of its host.
	memoryMB int

	stop   chan struct{}
	done   chan struct{}
	unread int64 // most unread bytes in the kernel
	fds    int   // most open descriptors
	socks  int   // most open sockets
}

// freePorts returns unused loopback ports.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func (p *process) start(env []string, args ...string) {
	p.t.Helper()
	out, err := os.Create(filepath.Join(p.t.TempDir(), "log"))
	if err != nil {
		p.t.Fatal(err)
	}
	c := exec.Command(program(p.t), args...)
	c.Env = append(os.Environ(), env...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid, p.exited, p.stop, p.done = c.Process.Pid, make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		_ = c.Wait() // the tests check with alive that it has not ended
		_ = out.Close()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	go p.sample()
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		if status, err := p.ordinary(); err == nil && status == http.StatusOK {
			return
		} else if time.Now().After(end) || !p.alive() {
			b, _ := os.ReadFile(out.Name())
			p.t.Fatalf("start: status %d, %v\n%s", status, err, b[max(len(b)-2000, 0):])
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// startEntry starts the command entry with a store that has a configuration and
// stores jobs after storeDelay. No daemon leads, since the store grants no lease.
func startEntry(t *testing.T) *process {
	t.Helper()
	return startWithStore(t, storeDelay, memoryMB)
}

// startWithStore is startEntry for a store with a delay and a host with a memory.
func startWithStore(t *testing.T, storeDelay time.Duration, memoryMB int) *process {
	t.Helper()
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "work", "host": queueHost, "prefix": "/jobs/", "timeout-ms": 3000, "service": "pool", "max-attempts": 1}},
		"services": []map[string]any{{"name": "pool"}},
		"limits":   map[string]any{"max-body-bytes": maxBody, "max-header-bytes": 16384},
	})
	if err != nil {
		t.Fatal(err)
	}
	m := http.NewServeMux()
	reply := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	m.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) {
		items := []map[string]any{}
		if key := "op/config"; r.FormValue("prefix") == key {
			items = append(items, map[string]any{"key": key, "value": config, "rev": 1, "created": 1})
		}
		reply(w, map[string]any{"items": items, "as-of": 1})
	})
	m.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		if ms, err := strconv.Atoi(r.FormValue("wait-ms")); err == nil {
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
		reply(w, map[string]any{"events": []any{}, "as-of": 1})
	})
	m.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(storeDelay)
		reply(w, map[string]int64{"rev": 2})
	})
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	store := httptest.NewServer(m)
	t.Cleanup(store.Close)
	ports := freePorts(t, 4)
	file := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(settings, ports[0], ports[0], ports[1], ports[2], memoryMB, maxFDs, store.Listener.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, callers: loopback(ports[1]), method: http.MethodPost, path: "/jobs/00000000000000aa", host: queueHost, memoryMB: memoryMB}
	p.start([]string{"GYPSUMTRESTLE_NODE_FILE=" + file}, "entry", "--metrics", loopback(ports[3]).String())
	return p
}

// fleet is an operators' text with one service.
const fleet = "zones = [\"a\"]\nweigh = \"rollout\"\n[[service]]\nname = \"ascent\"\nrunners = 2\nslots = 16\nspare = true\n"

// startServe starts the command serve with the platform stand-in and two worker
// hosts. The limits are set by environment variables, which the program ignores
// if it has no such flag.
func startServe(t *testing.T) *process {
	t.Helper()
	s, err := system.Start(t.Context(), []system.Zone{{Name: "a", Workers: 3, Entries: []string{"a1"}}}, storeDelay)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ports := freePorts(t, 2)
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte(fleet), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(program(t), "apply", file, "--platform", s.URL.String(), "--wait", "2s").CombinedOutput(); err != nil && !strings.Contains(string(out), "accepted") {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	p := &process{t: t, callers: loopback(ports[0]), method: http.MethodPost, path: "/ascent/x", host: queueHost, memoryMB: memoryMB}
	p.start([]string{
		"GYPSUMTRESTLE_MAXBODY=" + strconv.Itoa(maxBody), "GYPSUMTRESTLE_MEMORY=" + strconv.Itoa(memoryMB),
		"GYPSUMTRESTLE_CONNECTIONS=" + strconv.Itoa(maxConnections), "GOMEMLIMIT=" + strconv.Itoa(memoryMB*6/10) + "MiB",
	}, "serve", "--name", "a1", "--zone", "a", "--platform", s.URL.String(), "--caller", p.callers.String(), "--peer", loopback(ports[1]).String())
	return p
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// sample records the unread bytes in the kernel and the descriptors until stop.
func (p *process) sample() {
	defer close(p.done)
	for {
		p.unread = max(p.unread, unreadBytes(p.callers.Port()))
		fds, socks := descriptors(p.pid)
		p.fds, p.socks = max(p.fds, fds), max(p.socks, socks)
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(pollInterval):
		}
	}
}

// check checks that the process runs, that its memory with the unread bytes in
// the kernel and its descriptors have stayed within the settings, and that it
// answers an ordinary request.
func (p *process) check() {
	p.t.Helper()
	status, err := 0, error(nil)
	for range 5 { // a caller repeats a request up to four times
		if status, err = p.ordinary(); err == nil && status == http.StatusOK {
			break
		}
	}
	if !p.alive() {
		p.t.Fatal("process has ended")
	}
	close(p.stop)
	<-p.done
	resident := p.peakResident()
	p.t.Logf("resident %d KB, unread %d KB, descriptors %d, sockets %d", resident>>10, p.unread>>10, p.fds, p.socks)
	if err != nil || status != http.StatusOK {
		p.t.Errorf("ordinary request: status %d, %v", status, err)
	}
	if resident+p.unread > int64(p.memoryMB)<<20 {
		p.t.Errorf("%d MB of memory, limit %d MB", (resident+p.unread)>>20, p.memoryMB)
	}
	if p.fds > maxFDs || p.socks > maxFDs-fileFDs {
		p.t.Errorf("%d descriptors, %d of them sockets, limits %d and %d", p.fds, p.socks, maxFDs, maxFDs-fileFDs)
	}
}
