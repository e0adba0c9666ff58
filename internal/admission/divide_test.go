package admission_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Three daemons share 24 slots. The background surge at the first daemon gets the
// slots that the urgent requests of the second one leave; the third daemon has no
// demand and keeps one slot.
func ExampleDivideSlots() {
	demand := [][text.Classes]int{
		{text.Background: 100},
		{text.Urgent: 6},
		{},
	}
	fmt.Println(admission.DivideSlots(nil, 24, [text.Classes]int{6, 4, 3}, demand))
	// Output: [17 6 1]
}

// Guards against divisions that exceed the slots, leave slots unused, leave a
// daemon without a slot, or differ for equal reports.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		var w [text.Classes]int
		for c := range w {
			w[c] = rapid.IntRange(0, 9).Draw(t, "share")
		}
		demand := make([][text.Classes]int, rapid.IntRange(1, 6).Draw(t, "daemons"))
		for i := range demand {
			for c := range demand[i] {
				demand[i][c] = rapid.IntRange(0, 200).Draw(t, "demand")
			}
		}
		parts := admission.DivideSlots(nil, slots, w, demand)
		sum := 0
		for _, p := range parts {
			sum += p
			if p < 1 {
				t.Fatalf("a daemon has no slot in division %v", parts)
			}
		}
		if sum != max(slots, len(demand)) {
			t.Fatalf("division %v adds up to %d of %d slots", parts, sum, slots)
		}
		if again := admission.DivideSlots(nil, slots, w, demand); fmt.Sprint(again) != fmt.Sprint(parts) {
			t.Fatalf("equal reports gave divisions %v and %v", parts, again)
		}
	})
}

// Guards against a daemon that gets less than its demand although the demand of
// its class is within the share of the class. The demand of other daemons must
// not matter.
func TestDivideShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		other := rapid.IntRange(0, 1000).Draw(t, "background")
		mine := rapid.IntRange(0, 12).Draw(t, "urgent") // share of 24 slots: 18
		parts := admission.DivideSlots(nil, 24, [text.Classes]int{3, 1, 1}, [][text.Classes]int{
			{text.Background: other}, {text.Urgent: mine},
		})
		if parts[1] < min(mine, 18) {
			t.Fatalf("division %v for an urgent demand of %d at the second daemon", parts, mine)
		}
	})
}
