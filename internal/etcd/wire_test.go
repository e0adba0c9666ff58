package etcd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

const header = `"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"3","raft_term":"3"}`

const published = `{"key":"Zm9v","create_revision":"2","mod_revision":"3","version":"2","value":"YmFy","lease":"7587848390082254081"}`

// Guards against an encoding that the client and the stand-in share but a real
// gateway does not: requests and responses are those of the etcd documentation.
func TestPublishedForm(t *testing.T) {
	foo := etcd.Pair{Key: "foo", Value: []byte("bar"), Created: 2, Modified: 3, Lease: 7587848390082254081}
	for _, tc := range []struct {
		path, request, response string
		call                    func(context.Context, *etcd.Client) (any, error)
		want                    any
	}{
		{
			"/v3/kv/range", `{"key":"Zm9v"}`, `{` + header + `,"kvs":[` + published + `],"count":"1"}`,
			func(ctx context.Context, c *etcd.Client) (any, error) { return c.Get(ctx, "foo") }, foo,
		},
		{
			"/v3/kv/put", `{"key":"Zm9v","value":"YmFy","lease":"7587848390082254081"}`, `{` + header + `}`,
			func(ctx context.Context, c *etcd.Client) (any, error) {
				return c.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: "foo", Value: foo.Value, Lease: foo.Lease}}})
			},
			etcd.TxnResult{Applied: true, Revision: 3},
		},
		{
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"CREATE","key":"Zm9v","create_revision":"0"},{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"9"}],` +
				`"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}},{"request_delete_range":{"key":"YQ=="}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`,
			`{` + header + `,"responses":[{"response_range":{"header":{"revision":"3"},"kvs":[` + published + `],"count":"1"}}]}`,
			func(ctx context.Context, c *etcd.Client) (any, error) {
				return c.Do(ctx, etcd.Txn{
					Conds: []etcd.Cond{{Key: "foo"}, {Key: "a", Modified: 9}},
					Puts:  []etcd.Put{put("foo", "bar"), {Key: "a", Delete: true}},
					Else:  []string{"foo"},
				})
			},
			etcd.TxnResult{Revision: 3, Else: []etcd.Pair{foo}},
		},
		{
			"/v3/lease/grant", `{"TTL":"6"}`, `{` + header + `,"ID":"7587848390082254081","TTL":"6"}`,
			func(ctx context.Context, c *etcd.Client) (any, error) { return c.Grant(ctx, 6) }, foo.Lease,
		},
		{
			"/v3/lease/keepalive", `{"ID":"7587848390082254081"}`, `{"result":{` + header + `,"ID":"7587848390082254081","TTL":"6"}}` + "\n",
			func(ctx context.Context, c *etcd.Client) (any, error) { return nil, c.KeepAlive(ctx, foo.Lease) }, nil,
		},
		{
			"/v3/watch", `{"create_request":{"key":"Zm9v","range_end":"Zm9w","start_revision":"3"}}`,
			`{"result":{` + header + `,"created":true}}` + "\n" + `{"result":{` + header + `,"events":[{"kv":` + published + `},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}}`,
			func(ctx context.Context, c *etcd.Client) (any, error) {
				var got []etcd.Event
				_ = c.Watch(ctx, "foo", 2, func(e etcd.Event) { got = append(got, e) })
				return got, nil
			},
			[]etcd.Event{{Pair: foo}, {Pair: etcd.Pair{Key: "foo", Modified: 4}, Deleted: true}},
		},
	} {
		var path, zone string
		var request []byte
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			path, zone = r.Method+" "+r.URL.Path, r.Header.Get("Zone")
			var err error
			if request, err = io.ReadAll(r.Body); err != nil {
				t.Error(err)
			}
			w.Write([]byte(tc.response))
		}))
		got, err := tc.call(t.Context(), client(t, srv.URL))
		srv.Close()
		if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s = %+v, %v, want %+v", tc.path, got, err, tc.want)
		}
		if path != "POST "+tc.path || zone != "waco" || !sameJSON(t, string(request), tc.request) {
			t.Errorf("request %s from %s: %s, want %s", path, zone, request, tc.request)
		}
	}
}

func sameJSON(t *testing.T, a, b string) bool {
	var x, y any
	if err := json.Unmarshal([]byte(a), &x); err != nil {
		t.Error(err)
	}
	if err := json.Unmarshal([]byte(b), &y); err != nil {
		t.Error(err)
	}
	return reflect.DeepEqual(x, y)
}

// Guards against a daemon that exceeds its share of the platform's limits, and
// against a lease that expires because its keepalive waits behind a burst of
// other writes.
func TestBudget(t *testing.T) {
	s, _, c := serve(t)
	lease, err := c.Grant(t.Context(), 60)
	if err != nil {
		t.Fatal(err)
	}
	limited := client(t, c.URL.String())
	limited.Budget = gateway.Budget{Writes: rate.Limit(1e-6), Reads: rate.Limit(1e-6)}
	for range 20 {
		_, err = limited.Do(t.Context(), etcd.Txn{Puts: []etcd.Put{put("/k", "")}})
	}
	if err == nil || isUnknown(err) {
		t.Errorf("Do over the budget = %v", err)
	}
	if n := s.Faults.Status().Counts.Writes; n != 17 {
		t.Errorf("%d writes, want 17: the grant and 16", n)
	}
	if err := limited.KeepAlive(t.Context(), lease); err != nil {
		t.Errorf("KeepAlive over the budget = %v", err)
	}
	for range 50 {
		_, err = limited.Get(t.Context(), "/k")
	}
	if n := s.Faults.Status().Counts.Reads; err == nil || n != 40 {
		t.Errorf("%d reads, want 40; %v", n, err)
	}
}
