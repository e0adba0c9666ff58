package message

import (
	"net/netip"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Message is one of the message types of this package.
type Message interface{ tag() tag }

// tag is the integer that precedes a message on the wire. Values are never
// reused. A receiver skips unknown values.
type tag uint64

const (
	tagHello     tag = 1
	tagProof     tag = 2
	tagHeartbeat tag = 3
	tagPlan      tag = 4
	tagMap       tag = 5
	tagLeaving   tag = 6
	tagLoad      tag = 7
	tagFreeSlots tag = 8
	tagClaim     tag = 9
	tagGrant     tag = 10
	tagReport    tag = 11
	tagConfirm   tag = 12
	tagShutdown  tag = 13
)

// Daemon identifies one incarnation of an entry daemon. Incarnation is the
// name, a dot and the start time in milliseconds in base 36.
type Daemon struct {
	Name        string         `json:"name" cbor:"1,keyasint"`
	Zone        string         `json:"zone" cbor:"2,keyasint"`
	Incarnation string         `json:"incarnation" cbor:"3,keyasint"`
	PeerAddr    netip.AddrPort `json:"peer" cbor:"4,keyasint"`
	CallerAddr  netip.AddrPort `json:"caller" cbor:"5,keyasint"`
}

// Hello is the first message of each end of a link.
type Hello struct {
	Protocol uint64 `cbor:"1,keyasint"`
	Daemon   Daemon `cbor:"2,keyasint"`
	Nonce    []byte `cbor:"3,keyasint"`
}

// Proof is the second message of each end: an HMAC over both Hellos.
type Proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// Heartbeat is sent periodically over a link. A link is ordered and reliable,
// so a Heartbeat after the first one carries only what changed: versions of
// maps in MapVersions, and the complete list in Peers if it differs from the last
// one sent.
type Heartbeat struct {
	At          time.Time         `cbor:"1,keyasint"`
	PlanVersion uint64            `cbor:"2,keyasint,omitempty"`
	MapVersions map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// Peers are the daemons to which the sender has links.
	Peers []Daemon `cbor:"4,keyasint,omitempty"`
	// Wanted is set if the sender's link rule wants this link. A link that was
	// dialed on demand carries no broadcasts to other zones.
	Wanted bool `cbor:"5,keyasint,omitempty"`
}

// Plan carries the sender's active configuration text.
type Plan struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint"`
}

// Map carries the sender's active map of one zone.
type Map struct {
	Map fleet.Map `cbor:"1,keyasint"`
}

// Leaving reports that a host accepts no new work.
type Leaving struct {
	Host string    `cbor:"1,keyasint"`
	At   time.Time `cbor:"2,keyasint"`
}

// Load reports the sender's use of all pools. In a pool that is not listed the
// sender has no requests.
type Load struct {
	Pools []PoolLoad `cbor:"1,keyasint"`
}

// PoolLoad is the use of one pool by one daemon.
type PoolLoad struct {
	Pool string `cbor:"1,keyasint"`
	// Demand is the number of running and queued requests by urgency class.
	Demand [text.Classes]int `cbor:"2,keyasint"`
	// Running is the number of requests on each runner, by host.
	Running map[string]int `cbor:"3,keyasint,omitempty"`
}

// FreeSlots advertises slots of the sender's zone that other zones may use, for
// pools that one of them reported as full. It also lists the pools that are
// full in the sender's zone.
type FreeSlots struct {
	Free map[string]int `cbor:"1,keyasint"`
	Full []string       `cbor:"2,keyasint,omitempty"`
}

// Claim requests from the owner of a key the permission to run it. Key contains
// its owner.
type Claim struct {
	Call uint64 `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
}

// Grant is the reply to a Claim. Verdict is one of the verdicts of package
// claim.
type Grant struct {
	Call    uint64 `cbor:"1,keyasint"`
	Verdict uint8  `cbor:"2,keyasint"`
	// Token identifies the grant in the Report.
	Token uint64 `cbor:"3,keyasint,omitempty"`
	// Response is the stored response of a finished key, if the owner has it.
	Response []byte `cbor:"4,keyasint,omitempty"`
}

// Report reports the outcome of a granted key to its owner.
type Report struct {
	Key      string `cbor:"1,keyasint"`
	Token    uint64 `cbor:"2,keyasint"`
	Outcome  uint8  `cbor:"3,keyasint"`
	Response []byte `cbor:"4,keyasint,omitempty"`
}

// Confirm reports to the zone's daemons which map version the sender routes by,
// and how many of its requests still run on each draining host.
type Confirm struct {
	Zone        string         `cbor:"1,keyasint"`
	Version     uint64         `cbor:"2,keyasint"`
	Outstanding map[string]int `cbor:"3,keyasint,omitempty"`
}

// Shutdown announces a planned stop.
type Shutdown struct {
	Incarnation string `cbor:"1,keyasint"`
}

func (Hello) tag() tag     { return tagHello }
func (Proof) tag() tag     { return tagProof }
func (Heartbeat) tag() tag { return tagHeartbeat }
func (Plan) tag() tag      { return tagPlan }
func (Map) tag() tag       { return tagMap }
func (Leaving) tag() tag   { return tagLeaving }
func (Load) tag() tag      { return tagLoad }
func (FreeSlots) tag() tag { return tagFreeSlots }
func (Claim) tag() tag     { return tagClaim }
func (Grant) tag() tag     { return tagGrant }
func (Report) tag() tag    { return tagReport }
func (Confirm) tag() tag   { return tagConfirm }
func (Shutdown) tag() tag  { return tagShutdown }
