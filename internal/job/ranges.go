package job

import (
	"slices"

	"github.com/pkg/errors"
)

// Range is a range of numbers from From up to but not including To.
type Range struct {
	_        struct{} `cbor:",toarray"`
	From, To int
}

// Ranges is a set of numbers: ascending ranges that do not touch. The zero value
// is the empty set.
type Ranges []Range

// Has reports whether a number is in the set.
func (rs Ranges) Has(n int) bool {
	_, found := rs.search(n)
	return found
}

// Len returns how many numbers are in the set.
func (rs Ranges) Len() int {
	n := 0
	for _, r := range rs {
		n += r.To - r.From
	}
	return n
}

// Add returns the set with a number added. It may change rs.
func (rs Ranges) Add(n int) Ranges {
	i, found := rs.search(n)
	if found {
		return rs
	}
	after, before := i < len(rs) && rs[i].From == n+1, i > 0 && rs[i-1].To == n
	switch {
	case after && before:
		rs[i-1].To = rs[i].To
		return slices.Delete(rs, i, i+1)
	case after:
		rs[i].From = n
	case before:
		rs[i-1].To = n + 1
	default:
		return slices.Insert(rs, i, Range{From: n, To: n + 1})
	}
	return rs
}

// search returns the index of the range that has a number, or that would follow it.
func (rs Ranges) search(n int) (int, bool) {
	return slices.BinarySearchFunc(rs, n, func(r Range, n int) int {
		switch {
		case n < r.From:
			return 1
		case n >= r.To:
			return -1
		}
		return 0
	})
}

// check returns an error if the ranges are not a set of numbers from 0 on.
func (rs Ranges) check() error {
	next := 0
	for _, r := range rs {
		if r.From < next || r.To <= r.From {
			return errors.Errorf("range %d to %d after %d", r.From, r.To, next)
		}
		next = r.To + 1
	}
	return nil
}
