package sched

import "flag"

// A fixed seed gives the property tests one verdict on every run; the flag
// -rapid.seed chooses another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
