package intaketest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientTimeout = 10 * time.Second
	// clientCount is the number of clients of a case. Each connects again up to
	// two times if its connection is closed.
	clientCount = 400
	dials       = 3
	// shortOf is how much of a body most of the clients do not send.
	shortOf = 44
)

// jobBody is a valid job of maxBody bytes with as many steps as fit.
var jobBody = func() []byte {
	const step, end = `{"count":1,"cpu":1000}`, `]}`
	var b bytes.Buffer
	b.WriteString(`{"steps":[` + step)
	for b.Len()+1+len(step)+len(end) <= maxBody {
		b.WriteString("," + step)
	}
	b.WriteString(end)
	return append(b.Bytes(), bytes.Repeat([]byte(" "), maxBody-b.Len())...)
}()

// ordinary sends a small request on a connection of its own.
func (p *process) ordinary() (status int, err error) {
	c := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(p.method, "http://"+p.callers.String()+p.path, strings.NewReader(`{"steps":[{"count":1}]}`))
	if err != nil {
		return 0, err
	}
	r.Host = p.host
	res, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, err
}

// head returns the first lines of a request, without the empty line.
func (p *process) head(client int, fields ...string) string {
	path := p.path
	if i := strings.LastIndexByte(path, '/'); strings.HasPrefix(path, "/jobs/") {
		path = path[:i+1] + fmt.Sprintf("%016x", client+1)
	}
	return p.method + " " + path + " HTTP/1.1\r\nHost: " + p.host + "\r\n" + strings.Join(append(fields, ""), "\r\n")
}

// send writes the parts on one connection, and returns it with whether all were
// written.
func (p *process) send(parts []string) (net.Conn, bool) {
	c, err := net.DialTimeout("tcp", p.callers.String(), clientTimeout)
	if err != nil {
		return nil, false
	}
	if err := c.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return c, false
	}
	for _, s := range parts {
		if _, err := io.WriteString(c, s); err != nil {
			return c, false
		}
	}
	return c, true
}

// crowd lets all clients send their parts concurrently and keep their connections
// open until the test ends.
func (p *process) crowd(parts func(client int) []string) {
	var wg sync.WaitGroup
	for i := range clientCount {
		wg.Go(func() {
			for range dials {
				c, ok := p.send(parts(i))
				if c != nil {
					p.t.Cleanup(func() { _ = c.Close() })
				}
				if ok {
					return
				}
			}
		})
	}
	wg.Wait()
}

// exchange sends the parts and returns the status of the response, or zero.
func (p *process) exchange(parts []string) int {
	c, _ := p.send(parts)
	if c == nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// split returns a text in pieces of n bytes.
func split(s string, n int) []string {
	var parts []string
	for len(s) > n {
		parts, s = append(parts, s[:n]), s[n:]
	}
	return append(parts, s)
}

// chunked returns a body in the chunked coding with chunks of n bytes, without the
// last chunk. Each part has up to 4,096 chunks.
func chunked(body []byte, n int) []string {
	var parts []string
	var b strings.Builder
	for i := 0; len(body) > 0; i++ {
		k := min(n, len(body))
		b.WriteString(strconv.FormatInt(int64(k), 16) + "\r\n" + string(body[:k]) + "\r\n")
		body = body[k:]
		if i%4096 == 4095 || n > 4096 {
			parts = append(parts, b.String())
			b.Reset()
		}
	}
	return append(parts, b.String())
}

const (
	lengthField  = "Content-Length: 262144\r\n"
	chunkedField = "Transfer-Encoding: chunked\r\n"
)

func (p *process) whole(client int) []string {
	return []string{p.head(client, lengthField), string(jobBody)}
}

func (p *process) stopping(client int) []string {
	return append([]string{p.head(client, lengthField)}, split(string(jobBody[:maxBody-shortOf]), 16<<10)...)
}

func (p *process) largeChunks(client int) []string {
	return append([]string{p.head(client, chunkedField)}, chunked(jobBody[:maxBody-shortOf], 32<<10)...)
}

func (p *process) tinyChunks(client int) []string {
	return append([]string{p.head(client, chunkedField)}, tinyChunksOfBody...)
}

// tinyChunksOfBody is computed once, since all clients send it.
var tinyChunksOfBody = chunked(jobBody[:65_000], 1)
