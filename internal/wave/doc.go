// Package wave plans the hosts of one availability zone: grants of hosts to
// pools, moves between pools, drains for maintenance, and quarantine of failing
// hosts.
//
// # Floors over all zones
//
// Each zone's manager plans by itself and may have old maps of the other zones.
// The allowance for planned work, the number of runners that it may take out of
// service, is therefore divided beforehand: FloorShare is a function of the
// configuration text alone and returns the number of runners of a service that
// each zone keeps serving during planned work. The shares add up to the floor
// even without the largest of them, so that the floor holds when any one zone is
// lost, whatever the other managers do at the same time. If the wanted runners
// in a text cannot keep a floor under the loss of a zone, this is reported. The
// shares then add up to the floor plus one runner, which is enough if no rack
// has two runners of the service. A drain beyond that is decided by the other
// zones' maps, so that the reserve for a rack can be missing while those maps
// are old. The floor itself never depends on them. A zone without slack in a
// service takes a replacement host from the spare pool before it drains a host.
//
// Managers that plan by different texts can together exceed the allowance. The
// manager therefore writes a map only under the text that is current in the
// key-value store; drains started under an earlier text continue.
//
// # Failure
//
// The package is pure: it does no I/O and reads no clock. Each plan is computed
// from the current state alone, so that a lost action is planned again.
package wave
