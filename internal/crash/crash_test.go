package crash

import (
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const heard = clock.BootTime(100 * time.Second)

// before returns the time d before the runner last replied.
func before(d time.Duration) clock.BootTime { return heard.Add(-d) }

// suspect returns the record of a task that is being started after immediate crashes.
func suspect(crashes int) Record {
	return Record{Crashes: crashes, Immediate: crashes, Suspect: true, Unresolved: 1}
}

// TestBystanderBlamed guards against a job that fails for the crashes of another
// one on the same runner, and against a task that crashes runner after runner.
func TestBystanderBlamed(t *testing.T) {
	old, fresh := before(time.Second), before(20*time.Millisecond)
	for _, c := range []struct {
		name    string
		runs    []Run
		charged []int // indexes of the runs that are charged
		suspect []int // of those that are suspected afterwards
		given   []int
	}{
		{"the runs that had just been started", []Run{{Job: "a", ConfirmedAt: old}, {Job: "b", ConfirmedAt: fresh}, {Job: "c"}}, []int{0, 1, 2}, []int{1, 2}, nil},
		{"a second crash under a run that had gone on", []Run{{Job: "a", ConfirmedAt: old, Record: Record{Crashes: 1}}, {Job: "b", ConfirmedAt: fresh}}, []int{0, 1}, []int{0, 1}, nil},
		{"a suspect that was started alone", []Run{{Job: "a", ConfirmedAt: old}, {Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}}, []int{1}, []int{1}, []int{1}},
		{"all suspects of the job", []Run{{Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}, {Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}}, []int{0, 1}, []int{0, 1}, []int{0, 1}},
		{"a suspect whose start was not confirmed", []Run{{Job: "a", ConfirmedAt: old}, {Job: "b", Record: suspect(1), Counted: true}}, []int{1}, []int{1}, nil},
		{"the same beside one whose start was confirmed", []Run{{Job: "b", Record: suspect(1), Counted: true}, {Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}}, []int{0, 1}, []int{0, 1}, []int{1}},
		{"a suspect of which no start was confirmed", []Run{{Job: "b", Record: Record{Suspect: true, Unresolved: 2}, Counted: true}}, []int{0}, []int{0}, nil},
		{"one that may have crashed too many runners", []Run{{Job: "b", Record: Record{Crashes: 1, Immediate: 1, Suspect: true, Unresolved: 2}, Counted: true}}, []int{0}, []int{0}, []int{0}},
		{"a suspect that had gone on after its last start", []Run{{Job: "b", ConfirmedAt: fresh, Record: suspect(1).WentOn()}}, []int{0}, []int{0}, nil},
		{"a second immediate crash after that", []Run{{Job: "b", ConfirmedAt: fresh, Record: Record{Crashes: 2, Immediate: 1, Suspect: true, Unresolved: 1}, Counted: true}}, []int{0}, []int{0}, []int{0}},
		{"a start that was not confirmed after that", []Run{{Job: "b", Record: Record{Crashes: 2, Suspect: true, Unresolved: 1}, Counted: true}}, []int{0}, []int{0}, nil},
		{"too many crashes of both kinds", []Run{{Job: "b", Record: Record{Crashes: 3, Suspect: true, Unresolved: 1}, Counted: true}}, []int{0}, []int{0}, []int{0}},
		{"a suspect beside a start of another job", []Run{{Job: "a", ConfirmedAt: fresh}, {Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}}, []int{1}, []int{1}, nil},
		{"a suspect that had gone on", []Run{{Job: "a", ConfirmedAt: old, Record: suspect(1), Counted: true}}, []int{0}, []int{0}, nil},
		{"a suspect that had gone on, beside the culprit", []Run{{Job: "a", ConfirmedAt: old, Record: suspect(1), Counted: true}, {Job: "b", ConfirmedAt: fresh, Record: suspect(1), Counted: true}}, []int{1}, []int{0, 1}, []int{1}},
		{"a task that crashes its runners later", []Run{{Job: "a", ConfirmedAt: old, Record: suspect(3), Counted: true}}, []int{0}, []int{0}, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var charged, suspects, given []int
			for i, v := range Charge(c.runs, heard) {
				if v.Charged {
					charged = append(charged, i)
				}
				if v.Suspect {
					suspects = append(suspects, i)
				}
				if v.GiveUp {
					given = append(given, i)
				}
				crashes, unresolved := c.runs[i].Crashes+1, 0
				if c.runs[i].ConfirmedAt == 0 {
					crashes, unresolved = c.runs[i].Crashes, max(c.runs[i].Unresolved, 1)
				}
				if v.Charged && (v.Crashes != crashes || v.Unresolved != unresolved) {
					t.Errorf("run %d: record %+v after %+v, want %d crashes, %d unresolved", i, v.Record, c.runs[i].Record, crashes, unresolved)
				}
			}
			if !slices.Equal(charged, c.charged) || !slices.Equal(suspects, c.suspect) || !slices.Equal(given, c.given) {
				t.Errorf("charged %v, suspected %v, given up %v, want %v, %v, %v", charged, suspects, given, c.charged, c.suspect, c.given)
			}
		})
	}
}

// TestLaterCrashForgetsUnknownStart guards against an unknown start that is no longer
// counted once another one went on and crashed its runner later.
func TestLaterCrashForgetsUnknownStart(t *testing.T) {
	r := Record{Crashes: 1, Suspect: true, Unresolved: 2} // of a start without a known end, and of the next one
	v := Charge([]Run{{Record: r.WentOn(), Job: "j", ConfirmedAt: before(time.Second)}}, heard)
	if got := v[0].Possible(); got != 3 {
		t.Errorf("possible crashes %d, want 3", got)
	}
}
