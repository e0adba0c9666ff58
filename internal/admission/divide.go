package admission

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// DivideSlots divides the slots of a pool between the daemons of a zone and
// appends the number of slots of each daemon to dst, in the order of demand.
// The argument demand holds the last report of each live daemon, including the
// calling one; all daemons must use the same order, such as by name. Slots are
// first allocated to classes by weighted max-min fairness over the demand of
// the zone, then to daemons in proportion to their demand in the class. Slots
// without demand are spread evenly. Every daemon gets at least 1 slot, even if
// there are fewer slots than daemons.
func DivideSlots(dst []int, slots int, shares [text.Classes]int, demand [][text.Classes]int) []int {
	n := len(demand)
	if n == 0 {
		return dst
	}
	var sum [text.Classes]float64
	for _, d := range demand {
		for c, v := range d {
			sum[c] += float64(max(0, v))
		}
	}
	allocated := allocateClasses(float64(slots), shares, sum)
	remaining := float64(slots)
	for _, v := range allocated {
		remaining -= v
	}
	portions := make([]float64, n)
	for i, d := range demand {
		portions[i] = remaining / float64(n)
		for c, v := range d {
			if v > 0 {
				portions[i] += allocated[c] * float64(v) / sum[c]
			}
		}
	}
	base := len(dst)
	dst = roundToSum(dst, slots, portions)
	atLeastOne(dst[base:])
	return dst
}

// allocateClasses returns the slots of each class by weighted max-min fairness.
// No class gets more than its demand.
func allocateClasses(slots float64, shares [text.Classes]int, demand [text.Classes]float64) [text.Classes]float64 {
	var allocated [text.Classes]float64
	var satisfied [text.Classes]bool
	for {
		remaining, weights := slots, 0.0
		for c := range allocated {
			if satisfied[c] {
				remaining -= allocated[c]
			} else {
				weights += float64(max(1, shares[c]))
			}
		}
		changed := false
		for c := range allocated {
			if satisfied[c] {
				continue
			}
			allocated[c] = remaining * float64(max(1, shares[c])) / weights
			if allocated[c] >= demand[c] {
				allocated[c], satisfied[c], changed = demand[c], true, true
			}
		}
		if !changed {
			return allocated
		}
	}
}

// roundToSum rounds portions to integers that add up to slots, by the largest
// remainder method, and appends them to dst. Of equal remainders the first one
// is rounded up.
func roundToSum(dst []int, slots int, portions []float64) []int {
	base, remaining := len(dst), slots
	for i, p := range portions {
		integer := int(p)
		dst = append(dst, integer)
		portions[i] -= float64(integer)
		remaining -= integer
	}
	for ; remaining > 0; remaining-- {
		largest := 0
		for i, p := range portions {
			if p > portions[largest] {
				largest = i
			}
		}
		dst[base+largest]++
		portions[largest]--
	}
	return dst
}

// atLeastOne moves slots from the largest parts to the parts without a slot.
func atLeastOne(parts []int) {
	for i, p := range parts {
		if p > 0 {
			continue
		}
		parts[i] = 1
		if largest := slices.Index(parts, slices.Max(parts)); parts[largest] > 1 {
			parts[largest]--
		}
	}
}
