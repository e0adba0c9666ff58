package etcd

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// TaskStart is the request to start a task.
type TaskStart struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}

// TaskRenewal is the request to extend the leases of tasks.
type TaskRenewal struct {
	IDs []string `json:"ids"`
}

// TaskThrottle sets the share of the host's processors that a task may use,
// from 0 to 1.
type TaskThrottle struct {
	Share float64 `json:"share"`
}

// Tasks returns the tasks on the hosts of a zone.
func (c *Client) Tasks(ctx context.Context, zone string) ([]Task, error) {
	var tasks []Task
	err := c.call(ctx, zoneRequest("tasks", zone), &tasks)
	return tasks, err
}

// Usage returns the use of the hosts of a zone, which lags behind.
func (c *Client) Usage(ctx context.Context, zone string) ([]Usage, error) {
	var usage []Usage
	err := c.call(ctx, zoneRequest("usage", zone), &usage)
	return usage, err
}

// StartTask starts a task. A repeated start with the same id returns the task
// of the first one. The returned task may still be starting; poll Tasks until it
// runs.
func (c *Client) StartTask(ctx context.Context, id, host, service string, slots int) (Task, error) {
	var t Task
	err := c.call(ctx, taskRequest("start", http.MethodPut, id, TaskStart{host, service, slots}), &t)
	return t, err
}

// RenewTasks extends the leases of tasks; ids without a task are ignored.
func (c *Client) RenewTasks(ctx context.Context, ids []string) error {
	q := taskRequest("renew", http.MethodPost, "", TaskRenewal{ids})
	q.key, q.path = "tasks "+strings.Join(ids, " "), []string{"renewals"}
	return c.call(ctx, q, nil)
}

// StopTask stops a task and returns once its requests have finished. The wait is
// bounded by ctx only. A repeated stop waits for the first one.
func (c *Client) StopTask(ctx context.Context, id string) error {
	return c.callUntilDone(ctx, taskRequest("stop", http.MethodDelete, id, nil), nil)
}

// CheckpointTask writes a checkpoint of a task.
func (c *Client) CheckpointTask(ctx context.Context, id string) error {
	return c.call(ctx, taskRequest("checkpoint", http.MethodPost, id, nil, "checkpoint"), nil)
}

// ThrottleTask limits a task to a share of its host's processors.
func (c *Client) ThrottleTask(ctx context.Context, id string, share float64) error {
	return c.call(ctx, taskRequest("throttle", http.MethodPost, id, TaskThrottle{share}, "throttle"), nil)
}

func taskRequest(op, method, id string, body any, sub ...string) request {
	return request{kind: gateway.Write, op: op, key: "task " + id, method: method, path: append([]string{"tasks", id}, sub...), body: body}
}

func zoneRequest(list, zone string) request {
	return request{kind: gateway.Read, op: "list", key: list + " of " + zone, method: http.MethodGet, path: []string{list}, query: url.Values{"zone": {zone}}}
}
