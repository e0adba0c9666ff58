package trace_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// at returns an event some milliseconds after the start.
func at(ms int, e trace.Event) trace.Event {
	e.At = start.Add(time.Duration(ms) * time.Millisecond)
	return e
}

// TestCheckFinds guards against a check that misses a violation or reports one in
// a correct trace: each invariant is violated once.
func TestCheckFinds(t *testing.T) {
	deadline := start.Add(time.Second)
	arrive := trace.Event{Kind: trace.Arrive, Daemon: "a", Job: 1, Key: "k", Deadline: &deadline}
	ran := trace.Event{Kind: trace.Send, Daemon: "a", Job: 1, Key: "k", Host: "h1", Outcome: "unknown"}
	rejected := trace.Event{Kind: trace.Send, Daemon: "a", Job: 1, Key: "k", Host: "h2", Outcome: "not-run"}
	end := func(outcome string) trace.Event {
		return trace.Event{Kind: trace.End, Daemon: "a", Job: 1, Key: "k", Outcome: outcome}
	}
	other := trace.Event{Kind: trace.Send, Daemon: "b", Job: 1, Key: "k", Host: "h3", Outcome: "answered"}
	otherEnd := trace.Event{Kind: trace.End, Daemon: "b", Job: 1, Key: "k", Outcome: "not-run"}
	started := start.Add(time.Millisecond)
	slow := trace.Event{Kind: trace.Send, Daemon: "a", Job: 1, Key: "k", Host: "h1", Outcome: "answered", Start: &started}
	serve := trace.Event{Kind: trace.Serve, Daemon: "b", Host: "h1"}
	leave := trace.Event{Kind: trace.Leave, Daemon: "b", Host: "h1"}
	for _, tc := range []struct {
		name   string
		events []trace.Event
		want   string
	}{
		{"correct", []trace.Event{at(0, arrive), at(1, rejected), at(2, ran), at(3, end("unknown"))}, ""},
		{"told not-run", []trace.Event{at(0, arrive), at(1, ran), at(2, end("not-run"))}, "told not-run after it may have run"},
		{"told not-run elsewhere", []trace.Event{at(0, arrive), at(1, ran), at(2, otherEnd)}, "told not-run, but daemon a"},
		{"told not-run during a run", []trace.Event{at(0, arrive), at(2, otherEnd), at(3, slow)}, "while another attempt was told not-run"},
		{"run after not-run", []trace.Event{at(0, otherEnd), at(1, arrive), at(3, slow)}, ""},
		{"told not-run at the instant of a run", []trace.Event{at(0, arrive), at(1, ran), at(1, otherEnd)}, ""},
		{"again", []trace.Event{at(0, arrive), at(1, ran), at(2, ran)}, "sent again"},
		{"key twice", []trace.Event{at(0, arrive), at(1, ran), at(2, other)}, "ran again: daemon a"},
		{"late", []trace.Event{at(0, arrive), at(1001, ran)}, "after its deadline"},
		{"leaving", []trace.Event{at(0, leave), at(3001, ran)}, "which was leaving"},
		{"leaving, then serving", []trace.Event{at(0, leave), at(10, serve), at(3001, ran)}, ""},
		{"two ends", []trace.Event{at(0, arrive), at(1, end("unknown")), at(2, end("unknown"))}, "ended twice"},
	} {
		got := fmt.Sprint(trace.Check(tc.events))
		if (tc.want == "") != (got == "[]") || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got %s, want %q", tc.name, got, tc.want)
		}
	}
}

// TestRecorderKeepsOrder guards against recorded events that are lost or read in
// another order.
func TestRecorderKeepsOrder(t *testing.T) {
	var b bytes.Buffer
	r := &trace.Recorder{Daemon: "a", W: &b, Logger: log.NewNopLogger()}
	for i := range 10 {
		r.Add(at(i, trace.Event{Kind: trace.Arrive, Job: r.Job()}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	events, err := trace.Read(&b)
	if err != nil || len(events) != 10 || events[9].Job != 10 || events[9].Daemon != "a" {
		t.Errorf("got %d events, %v, want 10 in order", len(events), err)
	}
}
