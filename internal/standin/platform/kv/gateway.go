package kv

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// Gateway serves a Store over HTTP, with faults.
type Gateway struct {
	Store  *Store
	Faults *faults.Injector
}

// Routes returns the handlers by pattern.
func (g *Gateway) Routes() map[string]rest.Handler {
	return map[string]rest.Handler{
		"POST /v3/kv/range":        g.read,
		"POST /v3/kv/put":          g.put,
		"POST /v3/kv/txn":          g.txn,
		"POST /v3/lease/grant":     g.grant,
		"POST /v3/lease/keepalive": g.keepAlive,
		"POST /v3/lease/revoke":    g.revoke,
		"POST /v3/watch":           g.watch,
	}
}

func (g *Gateway) read(w http.ResponseWriter, r *http.Request) error {
	var q gateway.RangeRequest
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	at, old := q.Revision, g.Faults.ReadRevision()
	if old != 0 {
		at = old
	}
	pairs, revision, err := g.Store.read(span{string(q.Key), string(q.RangeEnd)}, at)
	if err != nil {
		return err
	}
	if old != 0 {
		revision = min(old, revision) // the response of an outdated etcd member
	}
	return rest.Reply(w, rangeResponse(pairs, revision))
}

func rangeResponse(pairs []etcd.Pair, revision int64) gateway.RangeResponse {
	resp := gateway.RangeResponse{Header: gateway.Header{Revision: revision}, Count: int64(len(pairs))}
	for _, p := range pairs {
		resp.Kvs = append(resp.Kvs, keyValue(p))
	}
	return resp
}

func keyValue(p etcd.Pair) gateway.KeyValue {
	return gateway.KeyValue{Key: []byte(p.Key), Value: p.Value, CreateRevision: p.Created, ModRevision: p.Modified, Lease: p.Lease}
}

func (g *Gateway) put(w http.ResponseWriter, r *http.Request) error {
	var q gateway.PutRequest
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	res, err := g.Store.Do(r.Context(), etcd.Txn{Puts: []etcd.Put{put(q)}})
	if err != nil {
		return err
	}
	return rest.Reply(w, gateway.PutResponse{Header: gateway.Header{Revision: res.Revision}})
}

func put(q gateway.PutRequest) etcd.Put {
	return etcd.Put{Key: string(q.Key), Value: q.Value, Lease: q.Lease}
}

func (g *Gateway) txn(w http.ResponseWriter, r *http.Request) error {
	var q gateway.TxnRequest
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	t, err := txn(q)
	if err != nil {
		return err
	}
	res, err := g.Store.Do(r.Context(), t)
	if err != nil {
		return err
	}
	return rest.Reply(w, txnResponse(q, res))
}

// txn converts a transaction. It supports only what the client uses:
// comparisons for equality, then puts and deletes of single keys, or else reads
// of single keys.
func txn(q gateway.TxnRequest) (etcd.Txn, error) {
	var t etcd.Txn
	for _, c := range q.Compare {
		cond := etcd.Cond{Key: string(c.Key)}
		switch {
		case c.Result != "" && c.Result != gateway.Equal:
			return t, errors.Wrapf(rest.ErrInvalid, "unsupported comparison result %s", c.Result)
		case c.Target == gateway.Create && c.CreateRevision != nil:
			cond.Created = *c.CreateRevision
		case c.Target == gateway.Mod && c.ModRevision != nil:
			cond.Modified = *c.ModRevision
		default:
			return t, errors.Wrapf(rest.ErrInvalid, "unsupported or incomplete comparison target %s", c.Target)
		}
		t.Conds = append(t.Conds, cond)
	}
	for _, op := range q.Success {
		switch {
		case op.Put != nil && op.Delete == nil && op.Range == nil:
			t.Puts = append(t.Puts, put(*op.Put))
		case op.Delete != nil && op.Put == nil && op.Range == nil && len(op.Delete.RangeEnd) == 0:
			t.Puts = append(t.Puts, etcd.Put{Key: string(op.Delete.Key), Delete: true})
		default:
			return t, errors.Wrap(rest.ErrInvalid, "unsupported success operation")
		}
	}
	for _, op := range q.Failure {
		if op.Range == nil || op.Put != nil || op.Delete != nil || len(op.Range.RangeEnd) > 0 {
			return t, errors.Wrap(rest.ErrInvalid, "unsupported failure operation")
		}
		t.Else = append(t.Else, string(op.Range.Key))
	}
	return t, nil
}

func txnResponse(q gateway.TxnRequest, res etcd.TxnResult) gateway.TxnResponse {
	resp := gateway.TxnResponse{Header: gateway.Header{Revision: res.Revision}, Succeeded: res.Applied}
	if res.Applied {
		for _, op := range q.Success {
			if op.Put != nil {
				resp.Responses = append(resp.Responses, gateway.ResponseOp{Put: &gateway.PutResponse{Header: resp.Header}})
			} else {
				resp.Responses = append(resp.Responses, gateway.ResponseOp{Delete: &gateway.DeleteRangeResponse{Header: resp.Header}})
			}
		}
		return resp
	}
	for _, op := range q.Failure {
		var found []etcd.Pair
		for _, p := range res.Else {
			if p.Key == string(op.Range.Key) {
				found = append(found, p)
			}
		}
		read := rangeResponse(found, res.Revision)
		resp.Responses = append(resp.Responses, gateway.ResponseOp{Range: &read})
	}
	return resp
}

func (g *Gateway) grant(w http.ResponseWriter, r *http.Request) error {
	var q gateway.Lease
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	id, err := g.Store.Grant(r.Context(), q.TTL)
	if err != nil {
		return err
	}
	return rest.Reply(w, gateway.Lease{ID: id, TTL: q.TTL})
}

func (g *Gateway) keepAlive(w http.ResponseWriter, r *http.Request) error {
	var q gateway.Lease
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	resp := gateway.Lease{ID: q.ID}
	// The gateway replies to a keepalive of an expired lease without a TTL.
	if err := g.Store.KeepAlive(r.Context(), q.ID); err == nil {
		resp.TTL = g.Store.ttl(q.ID)
	}
	return rest.Reply(w, gateway.Stream[gateway.Lease]{Result: &resp})
}

func (g *Gateway) revoke(w http.ResponseWriter, r *http.Request) error {
	var q gateway.Lease
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	if err := g.Store.Revoke(r.Context(), q.ID); err != nil {
		return err
	}
	return rest.Reply(w, struct{}{})
}

func (g *Gateway) watch(w http.ResponseWriter, r *http.Request) error {
	var q gateway.WatchRequest
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	ctx, cancel := g.Faults.ConnectionContext(r.Context(), r.Header.Get("Zone"))
	defer cancel()
	send := func(m gateway.WatchResponse) error {
		if err := g.Faults.WaitUnfrozen(ctx); err != nil {
			return err
		}
		if err := rest.Reply(w, gateway.Stream[gateway.WatchResponse]{Result: &m}); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	err := send(gateway.WatchResponse{Created: true})
	if err != nil {
		return nil
	}
	sp := span{string(q.Create.Key), string(q.Create.RangeEnd)}
	err = g.Store.watch(ctx, sp, q.Create.StartRevision-1, func(revision int64, events []etcd.Event) error {
		return send(watchResponse(revision, events))
	})
	if errors.Is(err, etcd.ErrCompacted) {
		return send(gateway.WatchResponse{Canceled: true, CompactRevision: g.Store.oldestRevision()})
	}
	if context.Cause(ctx) != nil && r.Context().Err() == nil {
		panic(http.ErrAbortHandler) // closes the connection without ending the stream
	}
	return nil
}

func watchResponse(revision int64, events []etcd.Event) gateway.WatchResponse {
	m := gateway.WatchResponse{Header: gateway.Header{Revision: revision}}
	for _, e := range events {
		ev := gateway.Event{Kv: keyValue(e.Pair)}
		if e.Deleted {
			ev.Type = gateway.Delete
		}
		m.Events = append(m.Events, ev)
	}
	return m
}
