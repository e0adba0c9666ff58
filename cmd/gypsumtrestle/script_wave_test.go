package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

// observedKey is the key of a script's steady requests.
type observedKey struct{}

// observed holds the outcomes of steady requests, and the newest versions of the
// maps that the platform stored during the requests.
type observed struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	targets  []string
	outcomes map[string]string // by request ID, which starts with the index of its target
	maps     map[string]*fleet.Map
	returns  map[string]int // number of returns from maintenance, by host
	faults   []string
	changed  chan struct{} // closed at the next map
}

// Outcomes of a request for its caller, in addition to those in a problem
// response.
const (
	served      = "served"
	unreachable = "unreachable" // no connection
	lost        = "lost"        // connection lost
)

// steady is: steady PLATFORM SERVICE=FLOOR URL... It sends POST requests to each
// URL until settle, and checks that with every version of the maps the service
// would still have its floor after the loss of its largest zone.
func steady(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 3, "steady PLATFORM SERVICE=FLOOR URL...")
	o := ts.Value(observedKey{}).(*observed)
	o.outcomes, o.maps, o.returns = make(map[string]string), make(map[string]*fleet.Map), make(map[string]int)
	o.changed = make(chan struct{})
	service, number, _ := strings.Cut(args[1], "=")
	floor, err := strconv.Atoi(number)
	ts.Check(err)
	u, err := url.Parse(args[0])
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	o.stop = cancel
	ts.Defer(func() { cancel(); o.done.Wait() })
	client := &etcd.Client{URL: u}
	pairs, revision, err := client.List(ctx, "/gt/map/")
	ts.Check(err)
	for _, p := range pairs {
		o.checkMap(p, service, floor)
	}
	o.done.Go(func() {
		err := client.Watch(ctx, "/gt/map/", revision, func(e etcd.Event) { o.checkMap(e.Pair, service, floor) })
		if ctx.Err() == nil {
			o.fault("watch ended: %v", err)
		}
	})
	o.targets = args[2:]
	for i, target := range o.targets {
		o.done.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				outcome := send(target, id)
				o.mu.Lock()
				o.outcomes[id] = outcome
				o.mu.Unlock()
				time.Sleep(trafficInterval)
			}
		})
	}
}

// send sends one request and returns its outcome. The request has no context, so
// that it is not aborted when the traffic is stopped.
func send(target, id string) string {
	r, err := http.NewRequest(http.MethodPost, target, http.NoBody)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("Request-Id", id)
	res, err := http.DefaultClient.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return unreachable
	case err != nil:
		return lost
	}
	defer func() { _ = res.Body.Close() }()
	var body struct{ Request, Outcome string }
	switch err := json.NewDecoder(res.Body).Decode(&body); {
	case err != nil:
		return lost
	case body.Request != id && !strings.HasPrefix(body.Request, id+"."):
		return "answer of " + body.Request
	case res.StatusCode == http.StatusOK:
		return served
	default:
		return body.Outcome
	}
}

func (o *observed) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// checkMap checks one version of a map and counts the returns from maintenance.
func (o *observed) checkMap(p etcd.Pair, service string, floor int) {
	m := new(fleet.Map)
	if err := json.Unmarshal(p.Value, m); err != nil {
		o.fault("map %s: %v", p.Key, err)
		return
	}
	if err := m.Validate(); err != nil {
		o.fault("%v", err)
	}
	o.mu.Lock()
	if old := o.maps[m.Zone]; old != nil {
		for i := range m.Hosts {
			if h := old.Host(m.Hosts[i].Name); h != nil && !h.Maintained.Equal(m.Hosts[i].Maintained) {
				o.returns[h.Name]++
			}
		}
	}
	o.maps[m.Zone] = m
	close(o.changed)
	o.changed = make(chan struct{})
	var n []int // serving by zone
	for _, m := range o.maps {
		n = append(n, len(slices.Collect(m.In(service, fleet.Serving))))
	}
	o.mu.Unlock()
	if len(n) == 2 && min(n[0], n[1]) < floor {
		o.fault("map %s version %d: %s serves with %v", m.Zone, m.Version, service, n)
	}
}

// maintained is: maintained N. It waits until hosts have returned from
// maintenance N times.
func maintained(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) != 1, "maintained N")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	o := ts.Value(observedKey{}).(*observed)
	for {
		o.mu.Lock()
		n, changed := 0, o.changed
		for _, k := range o.returns {
			n += k
		}
		o.mu.Unlock()
		if n >= want {
			return
		}
		<-changed
	}
}

// settle is: settle KILLED CONTROL... It stops the steady requests and compares
// each outcome with the runs on the backend servers of the control addresses.
// Only requests to URLs that start with KILLED may fail. It prints the number of
// requests by outcome and the maintained hosts.
func settle(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg || len(args) < 2, "settle KILLED CONTROL...")
	o := ts.Value(observedKey{}).(*observed)
	o.stop()
	o.done.Wait()
	runs := make(map[string]int)
	for _, control := range args[1:] {
		_, out, err := exchange(ts, []string{"GET", "http://" + control + "/runs"})
		ts.Check(err)
		var r backend.Runs
		ts.Check(json.Unmarshal([]byte(out[strings.Index(out, "{"):]), &r))
		for request, n := range r.Requests {
			id, _, _ := strings.Cut(request, ".") // the number of the exchange follows
			runs[id] += n
		}
	}
	counts := make(map[string]int)
	for id, outcome := range o.outcomes {
		counts[outcome]++
		i, err := strconv.Atoi(id[:strings.IndexByte(id, '-')])
		ts.Check(err)
		killed := strings.HasPrefix(o.targets[i], args[0]+"/")
		switch n := runs[id]; {
		case outcome == served && n == 1:
		case killed && (outcome == "not-run" || outcome == unreachable) && n == 0:
		case killed && (outcome == "unknown" || outcome == lost) && n <= 1:
		default:
			o.fault("request %s: %s, ran %d times", id, outcome, n)
		}
	}
	for _, f := range o.faults {
		ts.Logf("%s", f)
	}
	if len(o.faults) > 0 {
		ts.Fatalf("%d faults", len(o.faults))
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "outcomes %v\nmaintained %v\n", counts, o.returns)
}
