package rest

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Refusals of a request.
var (
	// ErrInvalid is a request that is never accepted.
	ErrInvalid = errors.New("invalid request")
	// ErrAbsent is a request about an object that does not exist.
	ErrAbsent = errors.New("not found")
	// ErrConflict is a request that the present state does not allow.
	ErrConflict = errors.New("conflict")
)

// Handler answers a request, or returns the reason why it does not.
type Handler func(http.ResponseWriter, *http.Request) error

// ServeHTTP turns the errors of h into the statuses of the gateway.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := h(w, r)
	switch {
	case err == nil:
	case errors.Is(err, ErrInvalid):
		Refuse(w, http.StatusBadRequest, gateway.InvalidArgument, err.Error())
	case errors.Is(err, etcd.ErrNoLease):
		Refuse(w, http.StatusNotFound, gateway.NotFound, "etcdserver: requested lease not found")
	case errors.Is(err, etcd.ErrCompacted):
		Refuse(w, http.StatusBadRequest, gateway.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	case errors.Is(err, ErrAbsent):
		Refuse(w, http.StatusNotFound, 0, err.Error())
	case errors.Is(err, ErrConflict):
		Refuse(w, http.StatusConflict, 0, err.Error())
	default:
		Refuse(w, http.StatusInternalServerError, 0, err.Error())
	}
}

// Refuse answers with an error status.
func Refuse(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if b, err := json.Marshal(gateway.Status{Code: code, Message: message}); err == nil {
		w.Write(b)
	}
}

// Reply answers with v as JSON.
func Reply(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return errors.Wrap(json.NewEncoder(w).Encode(v), "write answer")
}

// Decode reads the body of a request.
func Decode(r *http.Request, v any) error {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return nil
}
