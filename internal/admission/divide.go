package admission

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// DivideSlots appends to dst the slots of each daemon of a zone, in the order of
// demand. Demand holds what each live daemon last reported, the caller
// included; all daemons list them in the same order, such as by name. Classes
// get slots by weighted max-min over the zone's demand, then daemons by their
// part of the demand of the class. Slots that nobody asks for are spread
// evenly. Every daemon gets at least 1, even with fewer slots than daemons.
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
	give := levels(float64(slots), shares, sum)
	left := float64(slots)
	for _, v := range give {
		left -= v
	}
	part := make([]float64, n)
	for i, d := range demand {
		part[i] = left / float64(n)
		for c, v := range d {
			if v > 0 {
				part[i] += give[c] * float64(v) / sum[c]
			}
		}
	}
	base := len(dst)
	dst = round(dst, slots, part)
	atLeastOne(dst[base:])
	return dst
}

// levels gives each class its weighted max-min part of the slots, at most its
// demand.
func levels(slots float64, shares [text.Classes]int, demand [text.Classes]float64) [text.Classes]float64 {
	var give [text.Classes]float64
	var full [text.Classes]bool
	for {
		left, weights := slots, 0.0
		for c := range give {
			if full[c] {
				left -= give[c]
			} else {
				weights += float64(max(1, shares[c]))
			}
		}
		again := false
		for c := range give {
			if full[c] {
				continue
			}
			give[c] = left * float64(max(1, shares[c])) / weights
			if give[c] >= demand[c] {
				give[c], full[c], again = demand[c], true, true
			}
		}
		if !again {
			return give
		}
	}
}

// round appends whole numbers near part whose sum is slots, by the largest
// remainder. Equal remainders go to the earlier daemon.
func round(dst []int, slots int, part []float64) []int {
	base, left := len(dst), slots
	for i, p := range part {
		whole := int(p)
		dst = append(dst, whole)
		part[i] -= float64(whole)
		left -= whole
	}
	for ; left > 0; left-- {
		most := 0
		for i, p := range part {
			if p > part[most] {
				most = i
			}
		}
		dst[base+most]++
		part[most]--
	}
	return dst
}

// atLeastOne moves slots from the largest parts to the empty ones.
func atLeastOne(parts []int) {
	for i, p := range parts {
		if p > 0 {
			continue
		}
		parts[i] = 1
		if most := slices.Index(parts, slices.Max(parts)); parts[most] > 1 {
			parts[most]--
		}
	}
}
