package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

// Guards against changes in the printed lines, one per host, in which tests with
// separate processes find the control ports.
func TestServePrintsAddresses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	ended := make(chan error)
	c := cli{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Hosts: 2, Prefix: "h"}
	go func() { ended <- c.serve(ctx, w) }()
	lines := bufio.NewScanner(r)
	for _, host := range []string{"h1", "h2"} {
		if !lines.Scan() || !strings.HasPrefix(lines.Text(), "listening on ") {
			t.Fatalf("printed %q", lines.Text())
		}
		control := "http://" + strings.TrimPrefix(lines.Text(), "listening on ")
		var started backend.Started
		post(t, control+"/tasks", `{"id":"t1","service":"ascent","slots":8}`, &started)
		var reply backend.Reply
		post(t, "http://"+started.Addr.String()+"/", "", &reply)
		if reply.Host != host || reply.Service != "ascent" {
			t.Errorf("response %+v, want host %s and service ascent", reply, host)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// post sends a request and decodes the response.
func post(t *testing.T, url, body string, out any) {
	t.Helper()
	resp, err := http.Post(url, "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // the response has been read
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatalf("%s: %s: %v", url, resp.Status, err)
	}
}
