package daemon

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/intake"
)

// Defaults and bounds of the settings.
const (
	DefaultMaxBody     = 1 << 20  // bytes
	DefaultMaxHeader   = 16 << 10 // bytes
	DefaultReadTimeout = 10 * time.Second
	DefaultLinger      = 2 * time.Second
	DefaultStopTimeout = 30 * time.Second
	// With the defaults, 27 daemons together stay within 324 writes and 1,620
	// reads a second.
	DefaultWrites = 12 // a second
	DefaultReads  = 60 // a second
	// DefaultMemory has room for 32 bodies of DefaultMaxBody at a time.
	DefaultMemory = 1024 // MB
	minSecret     = 16   // bytes
)

// Config is the settings of an entry daemon.
type Config struct {
	// Name is the entry host's name. Only one process may use it at a time.
	Name string
	Zone string
	// Caller and Peer are the addresses to listen on. The daemon announces the
	// addresses of its listeners, so port 0 works.
	Caller, Peer netip.AddrPort
	Platform     *url.URL
	// Writes and Reads bound this daemon's calls to the platform per second: those
	// to the key-value store and those for hosts and tasks.
	Writes, Reads int
	// Seeds are peer addresses of other daemons, which a daemon needs to find its
	// peers when it starts during an outage of the key-value store.
	Seeds []netip.AddrPort
	// Secret authenticates the daemons to each other.
	Secret []byte
	// MaxBody and MaxHeader bound a caller's request in bytes.
	MaxBody   int64
	MaxHeader int
	// Memory is the memory of the host in MB, from which the limits on callers'
	// connections and bodies follow. Connections, if positive, replaces the limit
	// on connections that follows from it and from the process's descriptors.
	Memory, Connections int
	// ReadTimeout bounds how long a caller may take to send a request.
	ReadTimeout time.Duration
	// Linger is how long the load balancer takes to notice that the daemon is not
	// ready.
	Linger time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// TraceFile is the file to which the trace is appended; if empty, no trace is
	// written.
	TraceFile string
	Logger    log.Logger
}

// SettingError is a setting that is not allowed.
type SettingError struct{ Name, Value, Allowed string }

func (e *SettingError) Error() string {
	return e.Name + ": " + strconv.Quote(e.Value) + ", expected " + e.Allowed
}

// defaults sets the fields that are zero to their default values.
func (c *Config) defaults() {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = DefaultMaxHeader
	}
	if c.Writes == 0 {
		c.Writes = DefaultWrites
	}
	if c.Reads == 0 {
		c.Reads = DefaultReads
	}
	if c.Memory == 0 {
		c.Memory = DefaultMemory
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = DefaultReadTimeout
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
}

// Validate returns an error for the first setting that is not allowed.
func (c *Config) Validate() error {
	invalid := func(name, value, allowed string) error { return &SettingError{name, value, allowed} }
	switch {
	case c.Name == "" || strings.ContainsAny(c.Name, "./ \t\n"):
		return invalid("name", c.Name, "a host name without dots, slashes and spaces")
	case c.Zone == "" || strings.ContainsAny(c.Zone, "/ \t\n"):
		return invalid("zone", c.Zone, "the name of an availability zone")
	case c.Platform == nil || (c.Platform.Scheme != "http" && c.Platform.Scheme != "https") || c.Platform.Host == "":
		return invalid("platform", c.platform(), "a base URL, such as http://10.0.0.1:2379")
	case !c.Caller.IsValid():
		return invalid("caller", c.Caller.String(), "ip:port")
	case !c.Peer.IsValid():
		return invalid("peer", c.Peer.String(), "ip:port")
	case c.Peer.Addr().IsUnspecified() || c.Caller.Addr().IsUnspecified():
		return invalid("peer, caller", c.Peer.String(), "addresses that others can reach, not the unspecified one")
	case len(c.Secret) > 0 && len(c.Secret) < minSecret:
		return invalid("secret", "(hidden)", strconv.Itoa(minSecret)+" bytes or more")
	case len(c.Secret) == 0 && !c.Peer.Addr().IsLoopback():
		return invalid("secret", "", "a secret of "+strconv.Itoa(minSecret)+" bytes or more when peer is not a loopback address")
	case c.Writes < 0 || c.Reads < 0:
		return invalid("writes, reads", strconv.Itoa(c.Writes)+", "+strconv.Itoa(c.Reads), "no negative value")
	case c.Memory < 0 || c.Connections < 0:
		return invalid("memory, connections", strconv.Itoa(c.Memory)+", "+strconv.Itoa(c.Connections), "no negative value")
	case c.MaxBody < 0 || c.MaxHeader < 0 || c.ReadTimeout < 0 || c.Linger < 0 || c.StopTimeout < 0:
		return invalid("maxbody, maxheader, read, linger, stop", "", "no negative value")
	case c.Linger >= c.StopTimeout && c.StopTimeout > 0:
		return invalid("linger", c.Linger.String(), "less than stop, "+c.StopTimeout.String())
	}
	return nil
}

// limits returns the limits on callers.
func (c *Config) limits() intake.Limits {
	l := intake.LimitsFor(c.Memory, 0)
	if c.Connections > 0 {
		l.Connections = c.Connections
	}
	l.BodyBytes = max(l.BodyBytes, c.MaxBody)
	return l
}

func (c *Config) platform() string {
	if c.Platform == nil {
		return ""
	}
	return c.Platform.String()
}

// incarnation returns a name for one process start of a daemon. The name of a
// later start sorts after it.
func incarnation(name string, start time.Time) (string, error) {
	ms := start.UnixMilli()
	if ms <= 0 {
		return "", errors.Errorf("make incarnation: clock is at %s, expected a time after 1970", start)
	}
	return name + "." + strconv.FormatInt(ms, 36), nil
}
