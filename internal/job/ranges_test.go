package job

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRangesLoseNumber guards against an occurrence that counts as complete, or as
// not complete, because the ranges around it were joined wrongly.
func TestRangesLoseNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rs Ranges
		want := make(map[int]bool)
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "numbers") {
			rs = rs.Add(n)
			want[n] = true
			if err := rs.check(); err != nil {
				t.Fatalf("after %d: %v: %v", n, rs, err)
			}
		}
		for n := range 22 {
			if rs.Has(n) != want[n] {
				t.Fatalf("%v has %d: %t, want %t", rs, n, rs.Has(n), want[n])
			}
		}
		if rs.Len() != len(want) {
			t.Fatalf("%v has %d numbers, want %d", rs, rs.Len(), len(want))
		}
	})
}

// TestRangesOverlap guards against stored ranges that count an occurrence twice.
func TestRangesOverlap(t *testing.T) {
	for _, rs := range []Ranges{{{From: -1, To: 1}}, {{From: 2, To: 2}}, {{From: 0, To: 2}, {From: 1, To: 3}}, {{From: 0, To: 2}, {From: 2, To: 3}}, {{From: 4, To: 5}, {From: 0, To: 1}}} {
		b, err := EncodeProgress(&Progress{Complete: rs})
		if err != nil {
			t.Fatal(err)
		}
		if p, err := DecodeProgress(b); err == nil {
			t.Errorf("%v decoded as %v, want an error", rs, p.Complete)
		}
	}
}
