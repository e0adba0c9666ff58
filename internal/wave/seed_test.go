package wave_test

import "flag"

// A fixed seed makes the property tests reproducible; the flag -rapid.seed
// selects another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
