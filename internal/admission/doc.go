// Package admission decides under load: which request of a pool runs now,
// which waits and which is rejected.
//
// # Parts
//
// A Scheduler holds the queues of one pool at one daemon. It is a pure state
// machine: an event and an instant give a Decision. A Gate wraps a Scheduler
// for concurrent callers. DivideSlots computes from the zone's load reports how
// many of the pool's slots each daemon may use.
//
// # Use
//
// For each pool, the daemon calls SetZone and SetShares when the text or the
// map changes. When it sends its report it takes Demand, and when it has sent
// or received one it calls DivideSlots with the last report of every live daemon,
// its own included, and SetSlots. Using its own current demand instead would
// make the divisions of the daemons disagree.
//
// A request calls Enter, is sent when the verdict is Run, and ends its ticket
// with Done. When the runners refuse it as busy, Requeue puts it back. With the
// reason Spare only one runner should be asked.
//
// # Ownership
//
// A Gate owns its Scheduler and guards it with one mutex. Nothing else reads
// or writes the queues.
//
// # Failure
//
// Reports of other daemons may be late or lost. Divisions that were computed
// from different reports may overlap; the runner's "busy, not-run" refusal
// resolves the overlap. The demand of a daemon whose link is lost is left out
// by the caller of DivideSlots.
package admission
