package backend

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the protocol with backend servers.
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Deadline"
	headerOutcome   = "Outcome"
	headerLeaving   = "Leaving"

	outcomeNotRun = "not-run"
)

// maxAddedHeaders is how many headers wireRequest may add.
const maxAddedHeaders = 3

// noUserAgent prevents net/http from adding its own User-Agent header.
var noUserAgent = []string{""}

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), and Expect, which is not needed because the entire body of a
// Request is available.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the header of a request to a runner: h without the
// hop-by-hop headers and those that Connection lists. The value slices are
// shared with h and must not be changed. The map has capacity for the headers
// that are added.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+maxAddedHeaders)
	for name, values := range h {
		out[name] = values
	}
	removeHopByHop(out)
	return out
}

// removeHopByHop removes the hop-by-hop headers and those that Connection
// lists.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
