package gateway

// Lease is the request and the response of the lease calls. TTL is in seconds. A
// keepalive response without a TTL means that the lease does not exist.
type Lease struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the keys and the first revision of a watch.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Delete is the Type of an event that removes a key. Puts have no Type.
const Delete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// Stream wraps every message of a streamed response.
type Stream[T any] struct {
	Result *T      `json:"result,omitempty"`
	Error  *Status `json:"error,omitempty"`
}

// Values of Status.Code, which are gRPC codes.
const (
	InvalidArgument   = 3
	NotFound          = 5
	ResourceExhausted = 8
	OutOfRange        = 11
)

// Status is the body of a response whose status is not 200.
type Status struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the range end that selects every key with a prefix. For a
// prefix without an end, such as the empty one, it returns the zero byte, which
// means no upper bound.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
