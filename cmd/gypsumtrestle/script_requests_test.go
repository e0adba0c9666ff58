package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

// trafficInterval is the pause between two requests of traffic.
const trafficInterval = 20 * time.Millisecond

// startedKey is the key of a script's requests in progress.
type startedKey struct{}

type reply struct {
	status int
	out    string
	err    error
}

func usage(ts *testscript.TestScript, bad bool, text string) {
	if bad {
		ts.Fatalf("usage: %s", text)
	}
}

// begin is: begin NAME METHOD URL [HEADER:VALUE...] [@FILE]. It sends a
// request and does not wait for the response.
func begin(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 3, "begin NAME METHOD URL [HEADER:VALUE...] [@FILE]")
	done := make(chan reply, 1)
	ts.Value(startedKey{}).(map[string]chan reply)[args[0]] = done
	go func() {
		status, out, err := exchange(ts, args[1:])
		done <- reply{status, out, err}
	}()
}

// join is: join NAME... It waits for the responses to requests that begin sent,
// and prints each as http does.
func join(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 1, "join NAME...")
	for _, name := range args {
		r := <-ts.Value(startedKey{}).(map[string]chan reply)[name]
		if r.err != nil {
			ts.Fatalf("join %s: %v", name, r.err)
		}
		_, _ = fmt.Fprintf(ts.Stdout(), "%s status %d\n%s\n", name, r.status, r.out)
	}
}

// capture is: capture VARIABLE REGEXP. It sets a variable to the first group of
// the first match in the last output.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) != 2, "capture VARIABLE REGEXP")
	m := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if len(m) < 2 {
		ts.Fatalf("capture: no match for %s", args[1])
	}
	ts.Setenv(args[0], m[1])
}

// ownKey is: uuid VARIABLE. It sets a variable to an idempotency key that the
// caller generates.
func ownKey(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) != 1, "uuid VARIABLE")
	id, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(args[0], id.String())
}

// seen is: seen FAULT CONTROL... It waits until the fault has affected a request
// on one of the hosts.
func seen(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 2, "seen FAULT CONTROL...")
	poll(ts, args[1:], "/faults", func(b []byte) bool {
		var f backend.Faults
		return json.Unmarshal(b, &f) == nil && f.Applied[backend.Fault(args[0])] > 0
	})
}

// ran is: ran ID CONTROL... It waits until a key or request has run on one of
// the hosts.
func ran(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 2, "ran ID CONTROL...")
	poll(ts, args[1:], "/runs", func(b []byte) bool {
		var r backend.Runs
		return json.Unmarshal(b, &r) == nil && r.Keys[args[0]]+requests(r.Requests, args[0]) > 0
	})
}

// poll reads a page of all hosts until accept returns true for one of them.
func poll(ts *testscript.TestScript, controls []string, path string, accept func([]byte) bool) {
	for range maxAwaitPolls {
		for _, control := range controls {
			_, out, err := exchange(ts, []string{"GET", "http://" + control + path})
			ts.Check(err)
			if accept([]byte(out[strings.Index(out, "{"):])) {
				return
			}
		}
		time.Sleep(awaitInterval)
	}
	ts.Fatalf("poll %s of %v: no page accepted", path, controls)
}

// countRuns is: runs N ID CONTROL... It fails unless a key or request ran N times
// in total on the backend servers of the control addresses.
func countRuns(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 3, "runs N ID CONTROL...")
	n := 0
	for _, control := range args[2:] {
		_, out, err := exchange(ts, []string{"GET", "http://" + control + "/runs"})
		ts.Check(err)
		var r backend.Runs
		ts.Check(json.Unmarshal([]byte(out[strings.Index(out, "{"):]), &r))
		n += max(r.Keys[args[1]], requests(r.Requests, args[1]))
	}
	if strconv.Itoa(n) != args[0] {
		ts.Fatalf("%s ran %d times, want %s", args[1], n, args[0])
	}
}

// traffic is: traffic DURATION URL... It sends GET requests to the URLs in turn
// for a time that a requirement specifies, and expects status 200.
func traffic(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 2, "traffic DURATION URL...")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		url := args[1+n%(len(args)-1)]
		if status, out, err := exchange(ts, []string{"GET", url}); err != nil || status != 200 {
			ts.Fatalf("traffic: request %d to %s: status %d, %v\n%s", n, url, status, err, out)
		}
		time.Sleep(trafficInterval)
	}
	ts.Logf("%d requests", n)
}

// requests returns the number of runs of a caller's request ID. The daemons
// append the number of the exchange to the ID.
func requests(runs map[string]int, id string) int {
	n := 0
	for k, v := range runs {
		if strings.HasPrefix(k, id+".") {
			n += v
		}
	}
	return n
}
