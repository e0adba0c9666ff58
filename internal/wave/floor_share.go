package wave

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Share is a zone's part of a service's floor.
type Share struct {
	// Runners is the number of runners that the zone keeps serving.
	Runners int
	// AfterRackLoss is the number of runners that it keeps after the loss of any
	// one of its racks.
	AfterRackLoss int
	// SurvivesZoneLoss is set if the floor holds under the loss of any one zone.
	SurvivesZoneLoss bool
}

// FloorShare returns a zone's share of a service's floor. It depends on the
// text alone, so that all managers with the same text divide the floor in the
// same way.
func FloorShare(t *text.Text, s *text.Service, zone string) Share {
	n := make([]int, len(t.Zones), 16)
	for i, z := range t.Zones {
		n[i] = s.Runners[z]
	}
	var sh Share
	sh.SurvivesZoneLoss = len(n) > 1 && sum(n)-slices.Max(n) >= s.Floor
	// Without the reserve for a zone, the shares keep one runner for the loss
	// of a rack that has one; a zone with more runners on a rack compensates
	// for the others.
	floor := s.Floor
	if !sh.SurvivesZoneLoss {
		floor = min(floor+1, sum(n))
	}
	// Lower the largest share first. The order among equal shares differs by
	// service, so that no zone has the slack of all services.
	start := 0
	if len(n) > 0 {
		start = int(xxhash.Sum64String(s.Name) % uint64(len(n)))
	}
	for lowerLargest(n, start, floor, sh.SurvivesZoneLoss) {
	}
	if i := slices.Index(t.Zones, zone); i >= 0 {
		sh.Runners = n[i]
		sh.AfterRackLoss = max(0, s.Floor-(sum(n)-n[i]))
	}
	return sh
}

// lowerLargest lowers the largest share by one runner if the floor allows it,
// and reports whether it did.
func lowerLargest(n []int, start, floor int, zoneLoss bool) bool {
	if len(n) == 0 {
		return false
	}
	best := start
	for k := range n {
		if i := (start + k) % len(n); n[i] > n[best] {
			best = i
		}
	}
	if n[best] == 0 {
		return false
	}
	remaining := sum(n) - 1
	n[best]--
	if zoneLoss {
		remaining -= slices.Max(n)
	}
	if remaining < floor {
		n[best]++
		return false
	}
	return true
}

func sum(n []int) int {
	t := 0
	for _, v := range n {
		t += v
	}
	return t
}

// related returns the services whose disruption adds to that of service i:
// those that it needs and those that need it, directly or through others.
func related(t *text.Text, i int) []int {
	index := make(map[string]int, len(t.Services))
	for j := range t.Services {
		index[t.Services[j].Name] = j
	}
	needs, dependents := make([][]int, len(t.Services)), make([][]int, len(t.Services))
	for j := range t.Services {
		for _, name := range t.Services[j].Needs {
			if k, ok := index[name]; ok {
				needs[j], dependents[k] = append(needs[j], k), append(dependents[k], j)
			}
		}
	}
	all := append(reachable(needs, i), reachable(dependents, i)...)
	slices.SortFunc(all, cmp.Compare[int])
	return slices.Compact(all)
}

// reachable returns the services that are reachable from i along the edges,
// without i.
func reachable(edges [][]int, i int) []int {
	seen := make([]bool, len(edges))
	seen[i] = true
	var found []int
	todo := []int{i}
	for len(todo) > 0 {
		j := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, k := range edges[j] {
			if !seen[k] {
				seen[k] = true
				found, todo = append(found, k), append(todo, k)
			}
		}
	}
	return found
}
