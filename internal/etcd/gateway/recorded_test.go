package gateway

import (
	"encoding/json"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against a changed field name: the gateway ignores fields
// that it does not recognize.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	check[RangeRequest](f, "range-request")
	check[RangeResponse](f, "range-response")
	check[PutRequest](f, "put-request")
	check[PutResponse](f, "put-response")
	check[DeleteRangeRequest](f, "delete-request")
	check[DeleteRangeResponse](f, "delete-response")
	check[TxnRequest](f, "txn-request")
	check[TxnResponse](f, "txn-response")
	check[Lease](f, "lease")
	check[Stream[Lease]](f, "lease-stream")
	check[WatchRequest](f, "watch-request")
	check[Stream[WatchResponse]](f, "watch-stream")
}

func check[T any](f *recorded.File, name string) {
	recorded.RoundTrip(f, name, recorded.Encoder[T](json.Marshal), recorded.Decoder[T](json.Unmarshal))
}
