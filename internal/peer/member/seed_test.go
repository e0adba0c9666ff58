package member

import "flag"

// A fixed seed makes the property tests repeatable; the flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
