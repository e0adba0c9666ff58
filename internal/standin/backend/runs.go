package backend

import (
	"maps"
	"sync"
)

// Runs counts the runs of requests by Request-Id and by Idempotency-Key.
type Runs struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
}

// record collects Runs. The zero value is empty.
type record struct {
	mu   sync.Mutex
	runs Runs
}

// add counts one run.
func (r *record) add(request, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs.Requests == nil {
		r.runs = Runs{Requests: make(map[string]int), Keys: make(map[string]int)}
	}
	r.runs.Requests[request]++
	if key != "" {
		r.runs.Keys[key]++
	}
}

// copy returns a copy of the counts.
func (r *record) copy() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Runs{Requests: make(map[string]int), Keys: make(map[string]int)}
	maps.Copy(out.Requests, r.runs.Requests)
	maps.Copy(out.Keys, r.runs.Keys)
	return out
}

// reset discards all counts.
func (r *record) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = Runs{}
}
