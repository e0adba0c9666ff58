package kv

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
)

// FuzzGateway guards against requests that cause a panic, a server error, a
// response that is not JSON, or a decreasing revision.
func FuzzGateway(f *testing.F) {
	for _, seed := range []struct{ path, body string }{
		{"/v3/kv/range", `{"key":"Zm9v","range_end":"AA==","revision":"1"}`},
		{"/v3/kv/put", `{"key":"Zm9v","value":"YmFy","lease":"1"}`},
		{"/v3/kv/txn", `{"compare":[{"target":"CREATE","key":"Zm9v","create_revision":"2"},{"target":"MOD","result":"EQUAL","key":"Zm9v","mod_revision":"2"}],` +
			`"success":[{"request_put":{"key":"Zm9v"}},{"request_delete_range":{"key":"YmFy"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`},
		{"/v3/kv/txn", `{"success":[{}],"compare":[null]}`},
		{"/v3/lease/grant", `{"TTL":"9223372036854775807"}`},
		{"/v3/lease/keepalive", `{"ID":"1"}`},
		{"/v3/lease/revoke", `{"ID":"1"}`},
		{"/v3/watch", `{"create_request":{"key":"Zm9v","start_revision":"-9223372036854775808"}}`},
	} {
		f.Add(seed.path, seed.body)
	}
	f.Fuzz(func(t *testing.T, path, body string) {
		s := &Store{History: 1}
		g := &Gateway{Store: s, Faults: &faults.Injector{}}
		mux := http.NewServeMux()
		for pattern, h := range g.Routes() {
			mux.Handle(pattern, h)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // ends a watch after its first message
		var last int64
		for _, q := range []struct{ path, body string }{
			{"/v3/kv/put", `{"key":"Zm9v","value":"MQ=="}`},
			{"/v3/lease/grant", `{"TTL":"60"}`},
			{path, body},
			{path, body},
			{"/v3/kv/range", `{"key":"Zm9v"}`},
		} {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", strings.NewReader(q.body))
			if err != nil {
				t.Fatal(err)
			}
			r.URL.Path = q.path
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			if w.Code >= http.StatusInternalServerError {
				t.Errorf("POST %s %s: status %d", q.path, q.body, w.Code)
			}
			if w.Header().Get("Content-Type") == "application/json" && !validStream(w.Body.String()) {
				t.Errorf("POST %s %s: response is not JSON: %q", q.path, q.body, w.Body)
			}
			if s.revision < last {
				t.Errorf("POST %s %s: revision %d after %d", q.path, q.body, s.revision, last)
			}
			last = s.revision
		}
	})
}

func validStream(s string) bool {
	for dec := json.NewDecoder(strings.NewReader(s)); dec.More(); {
		var v any
		if dec.Decode(&v) != nil {
			return false
		}
	}
	return true
}
