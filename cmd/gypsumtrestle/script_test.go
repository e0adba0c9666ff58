package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxAwaitPolls is the maximum number of polls of await; a slow machine
	// needs more of them.
	maxAwaitPolls = 1200
	awaitInterval = 50 * time.Millisecond
	// firstPort to lastPort are below the ephemeral ports of the kernel, so that
	// no other connection takes a port between its choice and its use.
	firstPort      = 20000
	lastPort       = 30000
	portsPerScript = 40
)

// TestScripts runs the program and the stand-ins as separate processes.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", bin, ".", "../platform-standin", "../backend-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var next atomic.Int64
	next.Store(int64(os.Getpid() % (lastPort - firstPort)))
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(filepath.ListSeparator)+e.Getenv("PATH"))
			e.Values[startedKey{}] = make(map[string]chan reply)
			e.Values[observedKey{}] = new(observed)
			first := freeBlock(&next)
			for i := range portsPerScript {
				e.Setenv("PORT"+strconv.Itoa(i), strconv.Itoa(first+i))
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"http":    httpCommand,
			"await":   await,
			"workers": workersFile,
			"begin":   begin,
			"join":    join,
			"capture": capture,
			"uuid":    ownKey,
			"runs":    countRuns,
			"traffic": traffic,
			"seen":    seen,
			"ran":     ran,

			"steady":     steady,
			"maintained": maintained,
			"settle":     settle,
		},
	})
}

// freeBlock returns the first port of a block of unused loopback ports.
func freeBlock(next *atomic.Int64) int {
	for {
		first := firstPort + int(next.Add(portsPerScript))%(lastPort-firstPort)
		if blockFree(first) {
			return first
		}
	}
}

func blockFree(first int) bool {
	for i := range portsPerScript {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// httpCommand is: http METHOD URL [HEADER:VALUE...] [@FILE]. It prints the
// status, the headers Outcome and Content-Type, and the body.
func httpCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [HEADER:VALUE...] [@FILE]")
	}
	status, out, err := exchange(ts, args)
	if err != nil {
		ts.Fatalf("http: %v", err)
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", status, out)
}

func exchange(ts *testscript.TestScript, args []string) (int, string, error) {
	body := ""
	if last := args[len(args)-1]; strings.HasPrefix(last, "@") {
		body = ts.ReadFile(last[1:])
		args = args[:len(args)-1]
	}
	r, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for _, h := range args[2:] {
		k, v, _ := strings.Cut(h, ":")
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	out := "outcome " + res.Header.Get("Outcome") + "\ntype " + res.Header.Get("Content-Type") + "\n" + string(b)
	return res.StatusCode, out, err
}

// await is: await STATUS METHOD URL [HEADER:VALUE...] [contains TEXT]. It
// repeats the request until the response has the status and contains the text.
// The status none means that the connection is refused.
func await(ts *testscript.TestScript, neg bool, args []string) {
	text := ""
	if n := len(args); n > 2 && args[n-2] == "contains" {
		text, args = args[n-1], args[:n-2]
	}
	if neg || len(args) < 3 {
		ts.Fatalf("usage: await STATUS METHOD URL [HEADER:VALUE...] [contains TEXT]")
	}
	last := ""
	for range maxAwaitPolls {
		status, out, err := exchange(ts, args[1:])
		if errors.Is(err, syscall.ECONNREFUSED) && args[0] == "none" {
			return
		}
		if err == nil && strconv.Itoa(status) == args[0] && strings.Contains(out, text) {
			_, _ = fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", status, out)
			return
		}
		last = fmt.Sprint(status, " ", out, " ", err)
		time.Sleep(awaitInterval)
	}
	ts.Fatalf("await %v: last got %s", args, last)
}

// workersFile is: workers FILE PORT [booted=AGE] ZONE=N... ENTRY@ZONE... It
// writes the hosts file of the platform stand-in, with consecutive control ports
// from PORT.
func workersFile(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: workers FILE PORT [booted=AGE] ZONE=N... ENTRY@ZONE...")
	}
	port, err := strconv.Atoi(args[1])
	ts.Check(err)
	var rows []string
	booted := time.Now()
	for _, a := range args[2:] {
		if age, ok := strings.CutPrefix(a, "booted="); ok {
			d, err := time.ParseDuration(age)
			ts.Check(err)
			booted = booted.Add(-d)
			continue
		}
		if entry, zone, ok := strings.Cut(a, "@"); ok {
			rows = append(rows, fmt.Sprintf(`{"name":%q,"zone":%q,"rack":"%s-r0","role":"entry","addr":"127.0.0.1","cores":2,"memory":4}`, entry, zone, zone))
			continue
		}
		zone, number, _ := strings.Cut(a, "=")
		n, err := strconv.Atoi(number)
		ts.Check(err)
		for i := range n {
			rows = append(rows, fmt.Sprintf(`{"name":"%s-w%d","zone":%q,"rack":"%s-r%d","role":"worker","addr":"127.0.0.1","cores":16,"memory":32,"control":"127.0.0.1:%d","booted":%q}`,
				zone, i+1, zone, zone, i/4+1, port, booted.Format(time.RFC3339Nano)))
			port++
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte("["+strings.Join(rows, ",\n")+"]"), 0o600))
}
