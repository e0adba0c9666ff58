package backend

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// control sends one request to a host's control handler.
func control(h *Host, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// TestControlIsIdempotent guards against a second runner, or an error, when the
// manager repeats a start or a stop because it did not receive the response.
func TestControlIsIdempotent(t *testing.T) {
	h := &Host{Name: "h1"}
	defer h.Close()
	const task = `{"id":"t1","service":"ascent","slots":8}`
	first := control(h, "POST", "/tasks", task).Body.String()
	for _, c := range []struct {
		method, path, body string
		status             int
		response           string
	}{
		{"POST", "/tasks", task, 200, first},
		{"POST", "/tasks", `{"id":"t1","service":"crew","slots":8}`, 409, ""},
		{"POST", "/tasks", `{"id":"t2","service":"crew"}`, 400, ""},
		{"PUT", "/faults", `{"left":{"lost":1},"delay":"2s"}`, 204, ""},
		{"GET", "/faults", "", 200, `{"left":{"lost":1},"delay":"2s"}`},
		{"PUT", "/faults", `{"left":{"haunted":1}}`, 400, ""},
		{"PUT", "/faults", `{"delay":"soon"}`, 400, ""},
		{"DELETE", "/tasks/t1", "", 204, ""},
		{"DELETE", "/tasks/t1", "", 204, ""},
		{"GET", "/runs", "", 200, `{"requests":{},"keys":{}}`},
	} {
		w := control(h, c.method, c.path, c.body)
		if w.Code != c.status || c.response != "" && w.Body.String() != c.response {
			t.Errorf("%s %s %s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
	h.Close()
	if _, err := h.Start("t3", "crew", 8); !errors.Is(err, ErrClosed) {
		t.Errorf("Start on a closed host = %v, want ErrClosed", err)
	}
}

// TestRunsCountsEffects guards against a wrong record of runs, on which checks
// of at-most-once execution rely. It must count each run by request and by key,
// and no request that was rejected or failed before its run.
func TestRunsCountsEffects(t *testing.T) {
	h := &Host{Name: "h1"}
	defer h.Close()
	if _, err := h.Start("t1", "ascent", 1); err != nil {
		t.Fatal(err)
	}
	send := func(id, key string) (status int) {
		req := httptest.NewRequest("POST", "/", nil)
		req.Header = http.Header{headerRequestID: {id}, headerKey: {key}, headerWork: {"1ms"}}
		w := httptest.NewRecorder()
		h.tasks["t1"].ServeHTTP(w, req)
		return w.Code
	}
	if err := h.SetFaults(Faults{Remaining: map[Fault]int{Fail: 1, Late: 1}, Delay: "1ms"}); err != nil {
		t.Fatal(err)
	}
	if got := []int{send("r1", "k1"), send("r2", "k1"), send("r3", "k1")}; got[0] != 500 || got[1] != 200 || got[2] != 200 {
		t.Errorf("statuses %v", got)
	}
	if w := control(h, "GET", "/runs", ""); w.Body.String() != `{"requests":{"r2":1,"r3":1},"keys":{"k1":2}}` {
		t.Errorf("runs %s", w.Body)
	}
	if w := control(h, "GET", "/faults", ""); !strings.Contains(w.Body.String(), `"seen":{"fail":1,"late":1}`) {
		t.Errorf("faults %s", w.Body)
	}
}
