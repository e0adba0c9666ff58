// Package admission implements admission control: it decides which requests of
// a pool run now, which are queued and which are rejected.
//
// # Parts
//
// A Scheduler holds the queues of one pool at one daemon. It is a pure state
// machine: each event with its time results in a Decision. A Gate wraps a
// Scheduler for concurrent callers. DivideSlots computes from the load reports
// of the zone how many slots of the pool each daemon may use.
//
// # Use
//
// For each pool, the daemon calls SetZoneSlots and SetShares when the
// configuration text or the map changes. It reports the result of Demand to the
// other daemons of the zone. After it has sent or received a report, it calls
// DivideSlots with the last report of every live daemon, including its own, and
// then SetSlots. If a daemon used its current demand instead of the one that it
// last reported, the daemons would compute different divisions.
//
// A request calls Enter, is sent to a runner if the verdict is Run, and ends its
// ticket with Done. If the runners reject it as busy, Requeue returns it to the
// queue. A request admitted with the reason Spare should be sent to one runner
// only.
//
// # Ownership
//
// A Gate owns its Scheduler and guards it with one mutex. No other code accesses
// the queues.
//
// # Failure
//
// Reports of other daemons may be late or lost. Divisions that were computed
// from different reports may overlap; the runners resolve this by rejecting
// requests above their capacity as "busy, not-run". The caller of DivideSlots
// leaves out the demand of a daemon whose link is lost.
package admission
