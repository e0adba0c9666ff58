package etcd

import (
	"net/netip"
	"time"
)

// HostState is what the platform's host list says of a host.
type HostState string

// Values of HostState.
const (
	Live HostState = "live"
	// Leaving hosts are about to be stopped by the platform.
	Leaving HostState = "leaving"
	// Gone hosts no longer exist; nothing runs on them.
	Gone HostState = "gone"
)

// Host is one row of the platform's lagging host list. Entry hosts are listed
// too, with Role "entry"; workers have Role "worker".
type Host struct {
	Name         string     `json:"name"`
	Zone         string     `json:"zone"`
	Rack         string     `json:"rack"`
	Role         string     `json:"role"`
	State        HostState  `json:"state"`
	Addr         netip.Addr `json:"addr"`
	Cores        int        `json:"cores"`
	Memory       int        `json:"memory"` // GB
	Accelerators int        `json:"accelerators"`
	// Booted is when the host last started.
	Booted time.Time `json:"booted"`
}

// Task is a runner's task on a host, held under a lease of the platform.
type Task struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// State is starting, running, failed or stopped.
	State string `json:"state"`
	// Addr is where the runner takes requests once State is running.
	Addr netip.AddrPort `json:"addr"`
	// Deadline is when the lease lapses unless it is renewed.
	Deadline time.Time `json:"deadline"`
}

// Usage is a host's reported use; At is the instant it was measured, which
// lies some time back.
type Usage struct {
	Host   string    `json:"host"`
	Cores  float64   `json:"cores"`
	Memory float64   `json:"memory"` // GB
	At     time.Time `json:"at"`
}
