package etcd

import (
	"net/netip"
	"time"
)

// HostState is the state of a host in the platform's host list.
type HostState string

// Values of HostState.
const (
	Live HostState = "live"
	// Leaving hosts are about to be stopped by the platform.
	Leaving HostState = "leaving"
	// Gone hosts no longer exist; nothing runs on them.
	Gone HostState = "gone"
)

// Host is one entry of the platform's host list, which lags behind the actual
// state. Entry hosts have Role "entry", workers have Role "worker".
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

// Task is a runner on a host. It runs under a lease of the platform.
type Task struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// State is starting, running, failed or stopped.
	State string `json:"state"`
	// Addr is where the runner accepts requests once State is running.
	Addr netip.AddrPort `json:"addr"`
	// Deadline is when the lease expires unless it is renewed.
	Deadline time.Time `json:"deadline"`
}

// Usage is the reported use of a host. At is the time of the measurement, which
// lags behind.
type Usage struct {
	Host   string    `json:"host"`
	Cores  float64   `json:"cores"`
	Memory float64   `json:"memory"` // GB
	At     time.Time `json:"at"`
}
