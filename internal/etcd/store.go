package etcd

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	pairs, _, err := c.rangeKeys(ctx, "get", key, gateway.RangeRequest{Key: []byte(key)})
	if err != nil || len(pairs) == 0 {
		return Pair{}, err
	}
	return pairs[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, int64, error) {
	return c.rangeKeys(ctx, "list", prefix, gateway.RangeRequest{Key: []byte(prefix), RangeEnd: gateway.PrefixEnd(prefix)})
}

func (c *Client) rangeKeys(ctx context.Context, op, key string, body gateway.RangeRequest) ([]Pair, int64, error) {
	var resp gateway.RangeResponse
	if err := c.call(ctx, request{kind: gateway.Read, op: op, key: key, method: http.MethodPost, path: []string{"v3/kv/range"}, body: body}, &resp); err != nil {
		return nil, 0, err
	}
	return pairs(resp.Kvs), resp.Header.Revision, nil
}

// Do implements Store. A single Put without conditions is sent as a put call.
func (c *Client) Do(ctx context.Context, t Txn) (TxnResult, error) {
	for _, p := range t.Puts {
		if len(p.Value) > MaxValueSize {
			return TxnResult{}, errors.Errorf("write %s: value of %d bytes exceeds the limit of %d", p.Key, len(p.Value), MaxValueSize)
		}
	}
	if len(t.Conds) == 0 && len(t.Puts) == 1 && !t.Puts[0].Delete {
		return c.put(ctx, t.Puts[0])
	}
	q := request{kind: gateway.Write, op: "write", method: http.MethodPost, path: []string{"v3/kv/txn"}, body: txn(t)}
	if len(t.Puts) > 0 {
		q.key = t.Puts[0].Key
	}
	var resp gateway.TxnResponse
	if err := c.call(ctx, q, &resp); err != nil {
		return TxnResult{}, noLease(err)
	}
	res := TxnResult{Applied: resp.Succeeded, Revision: resp.Header.Revision}
	for _, r := range resp.Responses {
		if !resp.Succeeded && r.Range != nil {
			res.Else = append(res.Else, pairs(r.Range.Kvs)...)
		}
	}
	return res, nil
}

func (c *Client) put(ctx context.Context, p Put) (TxnResult, error) {
	q := request{kind: gateway.Write, op: "put", key: p.Key, method: http.MethodPost, path: []string{"v3/kv/put"}}
	q.body = gateway.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}
	var resp gateway.PutResponse
	if err := c.call(ctx, q, &resp); err != nil {
		return TxnResult{}, noLease(err)
	}
	return TxnResult{Applied: true, Revision: resp.Header.Revision}, nil
}

func txn(t Txn) gateway.TxnRequest {
	var r gateway.TxnRequest
	for _, cond := range t.Conds {
		if cond.Created != 0 || cond.Modified == 0 {
			r.Compare = append(r.Compare, gateway.Compare{Result: gateway.Equal, Target: gateway.Create, Key: []byte(cond.Key), CreateRevision: &cond.Created})
		}
		if cond.Modified != 0 {
			r.Compare = append(r.Compare, gateway.Compare{Result: gateway.Equal, Target: gateway.Mod, Key: []byte(cond.Key), ModRevision: &cond.Modified})
		}
	}
	for _, p := range t.Puts {
		if p.Delete {
			r.Success = append(r.Success, gateway.RequestOp{Delete: &gateway.DeleteRangeRequest{Key: []byte(p.Key)}})
			continue
		}
		r.Success = append(r.Success, gateway.RequestOp{Put: &gateway.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}})
	}
	for _, key := range t.Else {
		r.Failure = append(r.Failure, gateway.RequestOp{Range: &gateway.RangeRequest{Key: []byte(key)}})
	}
	return r
}

func pairs(kvs []gateway.KeyValue) []Pair {
	var ps []Pair
	for _, kv := range kvs {
		ps = append(ps, pair(kv))
	}
	return slices.Clip(ps)
}

func pair(kv gateway.KeyValue) Pair {
	return Pair{Key: string(kv.Key), Value: kv.Value, Created: kv.CreateRevision, Modified: kv.ModRevision, Lease: kv.Lease}
}
