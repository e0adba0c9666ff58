// Package wave plans the hosts of one availability zone: grants, moves between
// pools, drains for maintenance, and hosts that are set aside.
//
// # Floors over all zones
//
// Each zone's manager plans by itself and may hold old maps of the other zones.
// The allowance is therefore divided beforehand: FloorShare is a function of the
// operators' text alone and gives the number of runners of a service that each
// zone keeps serving through planned work. The numbers add up to the floor even
// without the largest of them, so that the floor holds when any one zone is
// lost, whatever the other managers do at the same time. A text whose wanted
// runners cannot keep a floor under the loss of a zone is reported. The shares
// then add up to the floor and one runner, which is enough if no rack has two
// runners of the service; a drain beyond that is judged by the other zones'
// maps, so that the reserve for a rack can be missing while those are old. The
// floor itself never depends on them. A zone without slack in a service takes a
// host from the spare pool as cover before it drains one.
//
// Managers that plan by different texts can together exceed the allowance. The
// manager therefore writes a map only under the text that is current in the
// platform's service; drains begun under an earlier text remain.
//
// # Failure
//
// The package is pure: it does no I/O and reads no clock. The plan is computed
// anew from what is there, so that an action that was lost is planned again.
package wave
