package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	callerHost  = "soak.example"
	callerPath  = "/work/"
	callTimeout = 3 * time.Second
	maxSubmits  = 4
)

// wireStep is a step in the format that callers send.
type wireStep struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Mem      int   `json:"mem-mb"`
	Estimate int   `json:"estimate-ms"`
	After    []int `json:"after,omitempty"`
}

// caller submits jobs, queries their state and cancels some of them, over
// persistent connections.
type caller struct {
	rand    *rand.Rand
	deadly  *rand.Rand // chooses the jobs with a deadly task; nil if there are none
	ledger  *ledger
	daemons []*daemon
	client  *http.Client
}

func newCaller(seed uint64, l *ledger, ds []*daemon) *caller {
	return &caller{
		rand: rand.New(rand.NewPCG(seed, 7)), ledger: l, daemons: ds,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run submits jobs until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.runJob(ctx)
		sleep(ctx, time.Duration(c.rand.IntN(150))*time.Millisecond)
	}
}

func (c *caller) runJob(ctx context.Context) {
	id := job.ID(fmt.Sprintf("%016x", c.rand.Uint64()))
	j := &jobRecord{spec: "spec " + string(id)}
	for s := range 1 + c.rand.IntN(3) {
		step := wireStep{Count: 1 + c.rand.IntN(4), CPU: 500 + c.rand.IntN(1500), Mem: 64, Estimate: 250}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.steps = append(j.steps, step)
	}
	if c.deadly != nil && c.deadly.IntN(jobsPerDeadly) == 0 {
		s := c.deadly.IntN(len(j.steps))
		j.deadly = &job.Task{Job: id, Step: s, Index: c.deadly.IntN(j.steps[s].Count)}
	}
	c.ledger.mu.Lock()
	c.ledger.jobs[id] = j
	c.ledger.mu.Unlock()
	if !c.submit(ctx, id, j) {
		return
	}
	if c.rand.IntN(4) == 0 {
		c.sendSubmit(ctx, id, j) // a late duplicate must not create a second job
	}
	cancel := c.rand.IntN(8) == 0
	for range 6 {
		sleep(ctx, time.Duration(100+c.rand.IntN(300))*time.Millisecond)
		if cancel {
			c.cancel(ctx, id, j)
		}
		if c.state(ctx, id) {
			return
		}
	}
}

// submit submits a job, with retries, and reports whether it was accepted.
func (c *caller) submit(ctx context.Context, id job.ID, j *jobRecord) bool {
	for range maxSubmits {
		if status := c.sendSubmit(ctx, id, j); status == http.StatusOK {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return false
}

// sendSubmit makes one attempt to submit a job and returns the status.
func (c *caller) sendSubmit(ctx context.Context, id job.ID, j *jobRecord) int {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	if err != nil {
		panic(err)
	}
	c.ledger.mu.Lock()
	j.pendingSubmits++
	c.ledger.mu.Unlock()
	status, _ := c.call(ctx, http.MethodPost, string(id), body)
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	j.pendingSubmits--
	switch status {
	case http.StatusOK:
		if j.acceptedAt.IsZero() {
			j.acceptedAt = time.Now()
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
	default:
		j.submitUnknown = true
	}
	return status
}

// call makes one call to a random daemon. Status 0 means that there was no
// response.
func (c *caller) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	d := c.daemons[c.rand.IntN(len(c.daemons))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callerAddr.String()+callerPath+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = callerHost
	r.GetBody = nil // prevents the client from sending an attempt twice
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	b, err := io.ReadAll(resp.Body)
	if cerr := resp.Body.Close(); err != nil || cerr != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// state queries the state of a job and reports whether the job has ended.
func (c *caller) state(ctx context.Context, id job.ID) bool {
	status, b := c.call(ctx, http.MethodGet, string(id), nil)
	switch status {
	case http.StatusOK:
		var r struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(b, &r); err != nil {
			r.State = err.Error()
		}
		c.ledger.stateReported(id, r.State)
		return r.State != "queued" && r.State != "running"
	case http.StatusGone:
		c.ledger.stateReported(id, "gone")
	}
	return false
}

func (c *caller) cancel(ctx context.Context, id job.ID, j *jobRecord) {
	c.ledger.mu.Lock()
	j.cancelSent = true
	c.ledger.mu.Unlock()
	status, _ := c.call(ctx, http.MethodDelete, string(id), nil)
	if status == http.StatusOK {
		c.ledger.mu.Lock()
		if j.cancelAckedAt.IsZero() {
			j.cancelAckedAt = time.Now()
		}
		c.ledger.mu.Unlock()
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
