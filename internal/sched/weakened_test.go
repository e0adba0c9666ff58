package sched

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/modeltest"
)

// TestModelFindsFaults guards against a model that checks nothing: it must fail
// when a safeguard is left out.
func TestModelFindsFaults(t *testing.T) {
	models := make(map[string]func(*rapid.T))
	for _, weaken := range []string{"takeover", "noted", "sure"} {
		models[weaken] = checkModel(weaken)
	}
	for _, weaken := range []string{"address", "entry", "unsettled", "roster"} {
		models[weaken] = checkRestarts(weaken)
	}
	for _, weaken := range []string{"ended", "author", "earlier"} {
		models[weaken] = checkLeaders(weaken)
	}
	for _, weaken := range []string{"listed", "pages"} {
		models[weaken] = checkLists(weaken)
	}
	for _, weaken := range []string{"blocked", "silent"} {
		models["waves without "+weaken] = func(r *rapid.T) { checkWaves(r, t, weaken) }
	}
	for _, weaken := range []string{"previous", "stops", "lowered", "pass"} {
		models["caps without "+weaken] = checkCaps(weaken)
	}
	models["starts"] = checkReborn("starts")
	modeltest.MustFail(t, models)
}
