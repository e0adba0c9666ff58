package backend

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// Task is the body of POST /tasks.
type Task struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}

// Started is the response to POST /tasks.
type Started struct {
	Addr netip.AddrPort `json:"addr"`
}

// Handler returns the handler of the host's control address:
//
//	POST /tasks         starts a task
//	DELETE /tasks/{id}  stops a task and waits for its running requests
//	GET, PUT /faults    reads or replaces the faults
//	GET, DELETE /runs   reads or clears the record of runs
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", h.postTask)
	mux.HandleFunc("DELETE /tasks/{id}", h.deleteTask)
	mux.HandleFunc("PUT /faults", h.putFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, &h.faults) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Runs()) })
	mux.HandleFunc("DELETE /runs", func(w http.ResponseWriter, _ *http.Request) {
		h.record.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (h *Host) postTask(w http.ResponseWriter, req *http.Request) {
	var t Task
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil || t.ID == "" || t.Slots < 1 {
		http.Error(w, "id, service and slots are required", http.StatusBadRequest)
		return
	}
	addr, err := h.Start(t.ID, t.Service, t.Slots)
	switch {
	case errors.Is(err, ErrStopping), errors.Is(err, ErrDiffers):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		writeJSON(w, Started{Addr: addr})
	}
}

func (h *Host) deleteTask(w http.ResponseWriter, req *http.Request) {
	if err := h.Stop(req.Context(), req.PathValue("id")); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) putFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON writes a response with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
