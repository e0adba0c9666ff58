package query

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/overload"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against daemons of different versions that misread each
// other's queries and replies.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	q, r := recorded.New[query](), recorded.New[reply]()
	q.Load, r.Load = false, nil // a query for the load has no other content
	recorded.RoundTripOf(f, "question", q, recorded.Encoder[query](cbor.Marshal), recorded.Decoder[query](cbor.Unmarshal))
	recorded.RoundTripOf(f, "reply-with-workspace", r, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
	r.Workspace = "" // a job without a workspace, or a daemon of an earlier version
	recorded.RoundTripOf(f, "reply", r, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
	recorded.RoundTripOf(f, "load-question", query{Seq: 2, Load: true}, recorded.Encoder[query](cbor.Marshal), recorded.Decoder[query](cbor.Unmarshal))
	loadReply := reply{Seq: 2, Leading: true, Load: recorded.New[*overload.View]()}
	recorded.RoundTripOf(f, "load-reply-with-peak", loadReply, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
	p := &loadReply.Load.Pools[0] // of a leader that knows no peak and no gaps
	p.Peak, p.Gaps, loadReply.Load.Beyond = 0, nil, []string{"v25"}
	recorded.RoundTripOf(f, "load-reply", loadReply, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
}

// oldReply is the reply of the previous release, and oldQuery its query.
type oldReply struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Leading bool   `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"6,keyasint,omitempty"`
}

type oldQuery struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Queue string `cbor:"3,keyasint,omitempty"`
}

// TestPreviousRelease guards against a query for the load that a leader of the previous
// release cannot decode, or whose reply from it is taken for a load.
func TestPreviousRelease(t *testing.T) {
	b, err := cbor.Marshal(query{Seq: 3, Load: true})
	if err != nil {
		t.Fatal(err)
	}
	var q oldQuery
	if err := cbor.Unmarshal(b, &q); err != nil || q.Seq != 3 || q.Queue != "" {
		t.Fatalf("previous release decodes %+v, error %v", q, err)
	}
	if b, err = cbor.Marshal(oldReply{Seq: 3, Leading: true}); err != nil {
		t.Fatal(err)
	}
	var r reply
	if err := cbor.Unmarshal(b, &r); err != nil || !r.Leading || r.Load != nil {
		t.Fatalf("reply of the previous release decoded as %+v, error %v", r, err)
	}
}
