package host

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// pipeListener accepts connections without a network.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestLongKey guards against a header limit by which a key of 64 KB gets 431 or no
// response in place of 401.
func TestLongKey(t *testing.T) {
	settings := recorded.New[*platform.Settings]()
	settings.Bounds.ConfigApply = time.Hour
	d := New(settings, netip.AddrPort{}, 1, log.NewNopLogger())
	s := new(store.Store)
	s.Put(platform.ConfigKey, []byte(`{"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/"}],"tenants":[{"name":"a","api-keys":["k"]}]}`))
	d.config.Store = s
	go func() { _ = d.config.Run(t.Context()) }() // the error is that of the context
	current := func() bool {
		c, age := d.config.ConfigAge()
		return c != nil && age < time.Minute
	}
	for end := time.Now().Add(time.Minute); !current(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no configuration")
		}
	}
	l := make(pipeListener, 1)
	server := d.callerServer()
	go func() { _ = server.Serve(l) }() // it ends with the listener
	defer close(l)
	ours, theirs := net.Pipe()
	defer ours.Close() //nolint:errcheck // the response has been read
	l <- theirs
	go func() {
		// A failed write shows as a failed read of the response.
		_, _ = io.WriteString(ours, "GET /q/00000000000000c1 HTTP/1.1\r\nHost: h\r\nCredential: "+strings.Repeat("k", 64<<10)+"\r\n\r\n")
	}()
	r, err := http.ReadResponse(bufio.NewReader(ours), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close() //nolint:errcheck // it is empty
	if r.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %s, want 401", r.Status)
	}
}
