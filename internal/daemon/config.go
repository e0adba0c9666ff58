package daemon

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// Defaults and bounds of the settings.
const (
	DefaultMaxBody     = 1 << 20  // bytes
	DefaultMaxHeader   = 16 << 10 // bytes
	DefaultReadTimeout = 10 * time.Second
	DefaultLinger      = 2 * time.Second
	DefaultStopTimeout = 30 * time.Second
	// 27 daemons together stay within 324 writes and 1,620 reads a second.
	DefaultWrites = 12 // a second
	DefaultReads  = 60 // a second
	minSecret     = 16 // bytes
)

// Config is the settings of an entry daemon.
type Config struct {
	// Name is the entry host's name; one process uses it at a time.
	Name string
	Zone string
	// Caller and Peer are the listening addresses. Announced addresses are
	// those of the listeners, so port 0 works.
	Caller, Peer netip.AddrPort
	Platform     *url.URL
	// Writes and Reads bound this daemon's calls to the platform a second.
	Writes, Reads int
	// Seeds are peer addresses of other daemons, for a start in an outage.
	Seeds []netip.AddrPort
	// Secret authenticates the daemons to each other.
	Secret []byte
	// MaxBody and MaxHeader bound a caller's request in bytes.
	MaxBody   int64
	MaxHeader int
	// ReadTimeout bounds how long a caller may take to send a request.
	ReadTimeout time.Duration
	// Linger is how long the load balancer takes to notice that the daemon
	// is not ready.
	Linger time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// TraceFile is the file to which a trace is appended; empty means none.
	TraceFile string
	Logger    log.Logger
}

// SettingError is a setting that is not allowed.
type SettingError struct{ Name, Value, Allowed string }

func (e *SettingError) Error() string {
	return e.Name + ": " + strconv.Quote(e.Value) + ", expected " + e.Allowed
}

// defaults fills the settings that were left out.
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

// Validate reports the first setting that is not allowed.
func (c *Config) Validate() error {
	bad := func(name, value, allowed string) error { return &SettingError{name, value, allowed} }
	switch {
	case c.Name == "" || strings.ContainsAny(c.Name, "./ \t\n"):
		return bad("name", c.Name, "a host name without dots, slashes and spaces")
	case c.Zone == "" || strings.ContainsAny(c.Zone, "/ \t\n"):
		return bad("zone", c.Zone, "the name of an availability zone")
	case c.Platform == nil || (c.Platform.Scheme != "http" && c.Platform.Scheme != "https") || c.Platform.Host == "":
		return bad("platform", c.platform(), "a base URL, such as http://10.0.0.1:2379")
	case !c.Caller.IsValid():
		return bad("caller", c.Caller.String(), "ip:port")
	case !c.Peer.IsValid():
		return bad("peer", c.Peer.String(), "ip:port")
	case c.Peer.Addr().IsUnspecified() || c.Caller.Addr().IsUnspecified():
		return bad("peer, caller", c.Peer.String(), "addresses that others can reach, not the unspecified one")
	case len(c.Secret) > 0 && len(c.Secret) < minSecret:
		return bad("secret", "(hidden)", strconv.Itoa(minSecret)+" bytes or more")
	case len(c.Secret) == 0 && !c.Peer.Addr().IsLoopback():
		return bad("secret", "", "a secret of "+strconv.Itoa(minSecret)+" bytes or more when peer is not a loopback address")
	case c.Writes < 0 || c.Reads < 0:
		return bad("writes, reads", strconv.Itoa(c.Writes)+", "+strconv.Itoa(c.Reads), "no negative value")
	case c.MaxBody < 0 || c.MaxHeader < 0 || c.ReadTimeout < 0 || c.Linger < 0 || c.StopTimeout < 0:
		return bad("maxbody, maxheader, read, linger, stop", "", "no negative value")
	case c.Linger >= c.StopTimeout && c.StopTimeout > 0:
		return bad("linger", c.Linger.String(), "less than stop, "+c.StopTimeout.String())
	}
	return nil
}

func (c *Config) platform() string {
	if c.Platform == nil {
		return ""
	}
	return c.Platform.String()
}

// incarnation names one run of a daemon; a later run's name sorts after it.
func incarnation(name string, start time.Time) (string, error) {
	ms := start.UnixMilli()
	if ms <= 0 {
		return "", errors.Errorf("clock is at %s, expected a time after 1970", start)
	}
	return name + "." + strconv.FormatInt(ms, 36), nil
}
