package etcd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against calls that the platform does not support, and
// against entries of its lists that are lost in decoding. TestPublishedForm
// compares the key-value calls with the published API.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	var request, response []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		request = []byte(strings.TrimSpace(r.Method + " " + r.URL.String() + " " + r.Header.Get("Zone") + " " + r.Header.Get("Content-Type") + " " + string(b)))
		_, _ = w.Write(response)
	}))
	defer srv.Close()
	c := client(t, srv.URL)
	for name, call := range map[string]func(context.Context) error{
		"start":      func(ctx context.Context) error { _, err := c.StartTask(ctx, "t", "h", "s", 3); return err },
		"renew":      func(ctx context.Context) error { return c.RenewTasks(ctx, []string{"t", "u"}) },
		"stop":       func(ctx context.Context) error { return c.StopTask(ctx, "t") },
		"checkpoint": func(ctx context.Context) error { return c.CheckpointTask(ctx, "t") },
		"throttle":   func(ctx context.Context) error { return c.ThrottleTask(ctx, "t", 0.5) },
		"reboot":     func(ctx context.Context) error { return c.Reboot(ctx, "h") },
		"revoke":     func(ctx context.Context) error { return c.Revoke(ctx, 9) },
	} {
		response = []byte("{}")
		if err := call(t.Context()); err != nil {
			t.Error(err)
		}
		f.Check(name, request)
	}
	lists(t, f, "hosts", &request, &response, c.Hosts)
	lists(t, f, "tasks", &request, &response, func(ctx context.Context) ([]etcd.Task, error) { return c.Tasks(ctx, "z") })
	lists(t, f, "usage", &request, &response, func(ctx context.Context) ([]etcd.Usage, error) { return c.Usage(ctx, "z") })
}

// lists checks the decoding of a list and the request that reads it.
func lists[T any](t *testing.T, f *recorded.File, name string, request, response *[]byte, call func(context.Context) ([]T, error)) {
	recorded.RoundTrip(f, name, recorded.Encoder[[]T](json.Marshal), func(b []byte) ([]T, error) {
		*response = b
		return call(t.Context())
	})
	f.Check(name+"-request", *request)
}
