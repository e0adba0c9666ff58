package gateway

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is a stored key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Revision int64  `json:"revision,omitempty,string"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest removes the keys in [Key, RangeEnd), or Key alone.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,omitempty,string"`
}

// Values of Compare.Target and Compare.Result.
const (
	Create = "CREATE"
	Mod    = "MOD"
	Equal  = "EQUAL"
)

// Compare is one condition of a transaction. The revisions are pointers because
// the gateway distinguishes a zero revision from an absent field.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	CreateRevision *int64 `json:"create_revision,omitempty,string"`
	ModRevision    *int64 `json:"mod_revision,omitempty,string"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the result of a RequestOp.
type ResponseOp struct {
	Range  *RangeResponse       `json:"response_range,omitempty"`
	Put    *PutResponse         `json:"response_put,omitempty"`
	Delete *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest applies Success if every Compare is true, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}
