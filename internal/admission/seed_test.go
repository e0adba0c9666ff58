package admission_test

import "flag"

// The fixed seed makes the property tests reproducible; the flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
