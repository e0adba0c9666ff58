package share

import (
	"fmt"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// A workspace with a weight of 10 sends 40 jobs a second for 3 s: of the first jobs as
// many are within its share as the allowance holds, then every fourth.
func ExampleLines() {
	var l Lines
	start := clock.BootTime(time.Hour)
	for second := range 3 {
		within := 0
		for i := range 40 {
			at := start.Add(time.Duration(second)*time.Second + time.Duration(i)*25*time.Millisecond)
			if !l.Next("w", at, 10).Beyond {
				within++
			}
		}
		fmt.Println(within, l.Beyond(start.Add(time.Duration(second)*time.Second+980*time.Millisecond)))
	}
	fmt.Println(l.Beyond(start.Add(4 * time.Second)))
	fmt.Println(l.Next("", start, 0).Beyond, l.Next("no weight", start, 0).Beyond)
	// Output:
	// 30 [w]
	// 10 [w]
	// 10 [w]
	// []
	// false false
}
