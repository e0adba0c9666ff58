package crash

import "flag"

// A fixed seed makes the property tests reproducible; the flag -rapid.seed sets
// another one.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
