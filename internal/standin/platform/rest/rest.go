package rest

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Reasons to reject a request.
var (
	// ErrInvalid means that the request is malformed or not supported.
	ErrInvalid = errors.New("invalid request")
	// ErrNotFound means that the object of the request does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the current state does not allow the request.
	ErrConflict = errors.New("conflict")
)

// Handler handles a request, or returns the reason why it was rejected.
type Handler func(http.ResponseWriter, *http.Request) error

// ServeHTTP calls h and converts its errors to status codes of the gateway.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := h(w, r)
	switch {
	case err == nil:
	case errors.Is(err, ErrInvalid):
		WriteError(w, http.StatusBadRequest, gateway.InvalidArgument, err.Error())
	case errors.Is(err, etcd.ErrNoLease):
		WriteError(w, http.StatusNotFound, gateway.NotFound, "etcdserver: requested lease not found")
	case errors.Is(err, etcd.ErrCompacted):
		WriteError(w, http.StatusBadRequest, gateway.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	case errors.Is(err, ErrNotFound):
		WriteError(w, http.StatusNotFound, 0, err.Error())
	case errors.Is(err, ErrConflict):
		WriteError(w, http.StatusConflict, 0, err.Error())
	default:
		WriteError(w, http.StatusInternalServerError, 0, err.Error())
	}
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if b, err := json.Marshal(gateway.Status{Code: code, Message: message}); err == nil {
		w.Write(b)
	}
}

// Reply writes v as a JSON response.
func Reply(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return errors.Wrap(json.NewEncoder(w).Encode(v), "write response")
}

// Decode decodes the JSON body of a request.
func Decode(r *http.Request, v any) error {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return nil
}
