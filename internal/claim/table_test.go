package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// TestMain makes rapid run long enough for TestProtocol to detect a Table without
// its checks; the defaults of rapid are too short for that.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run()) // command-line flags take precedence
}

func ExampleParseKey() {
	k, err := ParseKey("018bcfe5-6800-7000-8000-000000000001.d1.loyw3v28")
	fmt.Println(k.Owner, k.Minted().UTC(), err)
	_, err = ParseKey("6ba7b810-9dad-11d1-80b4-00c04fd430c8")
	fmt.Println(err)
	// Output:
	// d1.loyw3v28 2023-11-14 22:13:20 +0000 UTC <nil>
	// idempotency key: expected a UUID of version 7
}

// TestKeyText guards against a generated key that changes when it is formatted and
// parsed, and against malformed keys that are accepted.
func TestKeyText(t *testing.T) {
	now := time.UnixMilli(1700000000123)
	k := Mint(now, "d1.abc")
	got, err := ParseKey(k.String())
	if got != k || err != nil || !got.Minted().Equal(now) {
		t.Errorf("key %v was parsed as %v, error %v", k, got, err)
	}
	for _, bad := range []string{"", k.ID.String() + ".", k.ID.String() + ".x", k.ID.String() + "x", "{" + k.ID.String() + "}"} {
		if _, err := ParseKey(bad); err == nil {
			t.Errorf("malformed key %q was accepted", bad)
		}
	}
}

// step is a claim, or a report if token is set.
type step struct {
	holder  Holder
	after   time.Duration
	token   uint64
	outcome backend.Outcome
	want    Verdict
	changes bool
}

// TestTable guards against wrong verdicts for unusual orders of claims and reports
// of one key.
func TestTable(t *testing.T) {
	a, secondCall, b := Holder{"a.1", 1}, Holder{"a.1", 2}, Holder{"b.1", 1}
	restarted := Holder{"a.2", 1}
	claim := func(h Holder, want Verdict) step { return step{holder: h, want: want} }
	report := func(token uint64, o backend.Outcome, changes bool) step {
		return step{token: token, outcome: o, changes: changes}
	}
	for name, steps := range map[string][]step{
		"lost grant":            {claim(a, Granted), claim(a, Granted), claim(b, Running), claim(secondCall, Running)},
		"restarted holder":      {claim(a, Granted), claim(restarted, Running)},
		"released":              {claim(a, Granted), report(1, backend.NotRun, true), claim(b, Granted), report(1, backend.NotRun, false), claim(a, Running)},
		"repeated report":       {claim(a, Granted), report(1, backend.Answered, true), report(1, backend.Answered, false), claim(a, Answered)},
		"not-run after unknown": {claim(a, Granted), report(1, backend.Unknown, true), report(1, backend.NotRun, false), claim(b, Unknown)},
		"not-run after answer":  {claim(a, Granted), report(1, backend.Answered, true), report(1, backend.NotRun, false), claim(b, Answered)},
		"answer after unknown":  {claim(a, Granted), report(1, backend.Unknown, true), report(1, backend.Answered, true), claim(b, Answered)},
		"outcome of no meaning": {claim(a, Granted), report(1, backend.Outcome(99), true), claim(b, Unknown)},
		"report without grant":  {report(1, backend.NotRun, false), claim(a, Granted)},
		"too old":               {{holder: a, after: MaxAge + time.Millisecond, want: TooOld}},
		"future":                {{holder: a, after: -MaxSkew - time.Millisecond, want: Future}, claim(a, Granted)},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1700000000000)
			tab, key := &Table{Self: "home.1"}, Mint(now, "home.1")
			for i, s := range steps {
				if s.want == Unknown && s.holder == (Holder{}) {
					if got := tab.Report(now, key, s.token, s.outcome, nil); got != s.changes {
						t.Errorf("step %d: report changed the state: %v, want the opposite", i, got)
					}
				} else if got := tab.Claim(now.Add(s.after), key, s.holder); got.Verdict != s.want {
					t.Errorf("step %d: verdict %v, want %v", i, got.Verdict, s.want)
				}
			}
		})
	}
}

// TestTableBounds guards against unbounded memory of the owner, and against limits
// that break the at-most-once guarantee: a full table must reject new keys and
// remove none, responses above the limit are dropped while their keys stay
// answered, and a key that was removed for its age is rejected even after the clock
// is set back.
func TestTableBounds(t *testing.T) {
	now := time.UnixMilli(1700000000000)
	tab := &Table{Self: "h.1", MaxKeys: 2, MaxBytes: 3}
	key1, key2, key3 := Mint(now, "h.1"), Mint(now, "h.1"), Mint(now.Add(time.Millisecond), "h.1")
	for i, k := range []Key{key1, key2} {
		d := tab.Claim(now, k, Holder{"a.1", uint64(i)})
		tab.Report(now, k, d.Grant.Token, backend.Answered, []byte("xy"))
	}
	if d := tab.Claim(now, key3, Holder{"a.1", 9}); d.Verdict != Full {
		t.Errorf("third key: verdict %v, want Full", d.Verdict)
	}
	d1, d2 := tab.Claim(now, key1, Holder{"b.1", 1}), tab.Claim(now, key2, Holder{"b.1", 2})
	if d1.Verdict != Answered || d1.Response != nil || string(d2.Response) != "xy" {
		t.Errorf("decisions for answered keys: %v, %v, want only the second response stored", d1, d2)
	}
	if d := tab.Claim(now, Mint(now, "h.0"), Holder{"a.1", 3}); d.Verdict != NotOwner {
		t.Errorf("key of an earlier incarnation: verdict %v, want NotOwner", d.Verdict)
	}
	later := now.Add(MaxAge + MaxSkew + time.Millisecond)
	if d := tab.Claim(later, Mint(later, "h.1"), Holder{"a.1", 4}); d.Verdict != Granted || tab.storedBytes != 0 || len(tab.entries) != 1 {
		t.Errorf("after the age limit: verdict %v, %d bytes and %d keys stored, want Granted, 0 and 1", d.Verdict, tab.storedBytes, len(tab.entries))
	}
	if d := tab.Claim(now, key2, Holder{"a.1", 5}); d.Verdict != TooOld {
		t.Errorf("removed key after the clock was set back: verdict %v, want TooOld", d.Verdict)
	}
	if d := tab.Claim(now, key3, Holder{"a.1", 6}); d.Verdict != Full {
		t.Errorf("key rejected as Full after the table has space: verdict %v, want Full", d.Verdict)
	}
	if d := tab.Claim(now, Mint(now.Add(2*time.Millisecond), "h.1"), Holder{"a.1", 7}); d.Verdict != Granted {
		t.Errorf("newer key after the clock was set back: verdict %v, want Granted", d.Verdict)
	}
}
