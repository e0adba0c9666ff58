package intaketest

import (
	"net/http"
	"strings"
	"sync"
	"testing"
)

// wholeBodies lets all clients send a whole request of the largest legal size.
func wholeBodies(p *process) {
	var wg sync.WaitGroup
	for i := range clientCount {
		wg.Go(func() { p.exchange(p.whole(i)) })
	}
	wg.Wait()
	p.check()
}

// TestEntryWholeBodies guards against a process that runs out of memory since it
// reads and decodes any number of large bodies concurrently.
func TestEntryWholeBodies(t *testing.T) { wholeBodies(startEntry(t)) }

// TestServeWholeBodies is TestEntryWholeBodies for serve.
func TestServeWholeBodies(t *testing.T) { wholeBodies(startServe(t)) }

// TestEntryStoppedBodies guards against a process that runs out of memory since it
// keeps bodies whose clients send them piece by piece and stop short of the end.
func TestEntryStoppedBodies(t *testing.T) {
	p := startEntry(t)
	p.crowd(p.stopping)
	p.check()
}

// TestServeStoppedBodies is TestEntryStoppedBodies for serve.
func TestServeStoppedBodies(t *testing.T) {
	p := startServe(t)
	p.crowd(p.stopping)
	p.check()
}

// TestEntryLargeChunks guards against the same as TestEntryStoppedBodies with
// chunked bodies, whose length is not known in advance.
func TestEntryLargeChunks(t *testing.T) {
	p := startEntry(t)
	p.crowd(p.largeChunks)
	p.check()
}

// TestServeLargeChunks is TestEntryLargeChunks for serve.
func TestServeLargeChunks(t *testing.T) {
	p := startServe(t)
	p.crowd(p.largeChunks)
	p.check()
}

// TestEntryTinyChunks guards against the same as TestEntryLargeChunks with chunks
// of one byte, which are slow to read and fill the receive buffers of the kernel.
func TestEntryTinyChunks(t *testing.T) {
	p := startEntry(t)
	p.crowd(p.tinyChunks)
	p.check()
}

// TestServeTinyChunks is TestEntryTinyChunks for serve.
func TestServeTinyChunks(t *testing.T) {
	p := startServe(t)
	p.crowd(p.tinyChunks)
	p.check()
}

// TestEntryHeaders guards against a process that runs out of memory since clients
// send long headers without an end.
func TestEntryHeaders(t *testing.T) {
	p := startEntry(t)
	p.crowd(func(client int) []string {
		return append([]string{p.head(client, "Fill: ")}, split(strings.Repeat("x", 300<<10), 16<<10)...)
	})
	p.check()
}

// idleConnections opens connections that send the first line of a request.
func idleConnections(p *process) {
	p.crowd(func(client int) []string { return []string{p.head(client)} })
	p.check()
}

// TestEntryConnections guards against a process that runs out of descriptors since
// it accepts any number of connections.
func TestEntryConnections(t *testing.T) { idleConnections(startEntry(t)) }

// TestServeConnections is TestEntryConnections for serve.
func TestServeConnections(t *testing.T) { idleConnections(startServe(t)) }

// fullRequests sends single requests of full legal size in all forms.
func fullRequests(p *process) {
	p.t.Helper()
	fill := "Fill: " + strings.Repeat("x", 16384-len(p.head(0, "Fill: ", lengthField))) // header of 16,384 bytes
	for name, parts := range map[string][]string{
		"whole":        p.whole(1),
		"pieces":       append([]string{p.head(2, lengthField)}, split(string(jobBody), 1000)...),
		"large chunks": append(append([]string{p.head(3, chunkedField)}, chunked(jobBody, 32<<10)...), "0\r\n\r\n"),
		"tiny chunks":  append(append([]string{p.head(4, chunkedField)}, chunked(jobBody, 1)...), "0\r\n\r\n"),
		"header":       append([]string{p.head(5, fill, lengthField)}, string(jobBody)),
		"small":        {p.head(6, "Content-Length: 23\r\n"), `{"steps":[{"count":1}]}`},
	} {
		if status := p.exchange(parts); status != http.StatusOK {
			p.t.Errorf("%s: status %d", name, status)
		}
	}
	if !p.alive() {
		p.t.Error("process has ended")
	}
}

// TestEntryFullRequest guards against limits that a single legal request meets.
func TestEntryFullRequest(t *testing.T) { fullRequests(startEntry(t)) }

// TestServeFullRequest is TestEntryFullRequest for serve.
func TestServeFullRequest(t *testing.T) { fullRequests(startServe(t)) }

// TestEntryLongHeader guards against a header limit that rejects a header of
// 64 KB before the handler can.
func TestEntryLongHeader(t *testing.T) {
	p := startEntry(t)
	parts := []string{p.head(1, "Credential: "+strings.Repeat("k", 64<<10), "Content-Length: 23\r\n"), `{"steps":[{"count":1}]}`}
	if status := p.exchange(parts); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
