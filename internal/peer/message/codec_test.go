package message

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// FuzzDecode guards against frames that crash the decoder, and against
// messages whose meaning changes when they are passed on.
func FuzzDecode(f *testing.F) {
	at := time.Unix(1700000000, 123456000)
	for _, m := range []Message{
		Hello{Protocol: 1, Daemon: Daemon{Name: "a"}, Nonce: []byte("n")},
		Proof{MAC: []byte("m")},
		Heartbeat{At: at, Plan: 1, Maps: map[string]uint64{"a": 2}, Peers: []Daemon{{Name: "b"}}},
		Plan{Version: 3, Text: []byte("t")},
		Map{Map: fleet.Map{Zone: "a", Hosts: []fleet.Host{{Name: "h", Since: at}}}},
		Leaving{Host: "h", At: at},
		Load{Pools: []PoolLoad{{Pool: "p", Running: map[string]int{"h": 1}}}},
		FreeSlots{Free: map[string]int{"p": 1}},
		Claim{Call: 1, Key: "k"},
		Grant{Call: 1, Token: 2, Response: []byte("r")},
		Report{Key: "k", Outcome: 1},
		Confirm{Zone: "a", Version: 1, Outstanding: map[string]int{"h": 0}},
		Shutdown{Incarnation: "i"},
	} {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			if len(b) > MaxMessage/4 { // a lenient encoding may grow
				return
			}
			t.Fatalf("encode %+v: %v", m, err)
		}
		m2, err := Decode(again)
		if err != nil {
			t.Fatalf("decode again: %v", err)
		}
		third, err := Encode(m2)
		if err != nil || reflect.TypeOf(m) != reflect.TypeOf(m2) || len(third) != len(again) {
			t.Errorf("%+v became %+v (%v)", m, m2, err)
		}
	})
}

// TestLimits guards the size limits: a plan may hold a text of 1 MB, and no
// other type more than 64 KB, on either side.
func TestLimits(t *testing.T) {
	if _, err := Encode(Plan{Version: 1, Text: make([]byte, 1<<20)}); err != nil {
		t.Error(err)
	}
	if _, err := Encode(Plan{Version: 1, Text: make([]byte, MaxPlan)}); err == nil {
		t.Error("a plan over the limit was encoded")
	}
	if _, err := Encode(Claim{Key: strings.Repeat("k", MaxMessage)}); err == nil {
		t.Error("a claim over the limit was encoded")
	}
	for tag, limit := range map[byte]int{4: MaxPlan, 9: MaxMessage} {
		b := make([]byte, limit+1)
		b[0], b[1] = 0x82, tag
		if got, err := ReadFrame(bytes.NewReader(b[:limit])); err != nil || len(got) != limit {
			t.Errorf("type %d at its limit: %d bytes, %v", tag, len(got), err)
		}
		if _, err := ReadFrame(bytes.NewReader(b)); err == nil {
			t.Errorf("type %d over its limit was read", tag)
		}
	}
}

// TestUnknown guards rolling upgrades: later types and fields are skipped.
func TestUnknown(t *testing.T) {
	if _, err := Decode([]byte{0x82, 0x18, 0xc8, 0xa0}); !errors.Is(err, ErrUnknownType) {
		t.Errorf("later type: %v", err)
	}
	m, err := Decode([]byte{0x82, 13, 0xa2, 1, 0x61, 'x', 0x18, 99, 1}) // [13, {1: "x", 99: 1}]
	if m != (Shutdown{Incarnation: "x"}) || err != nil {
		t.Errorf("later field: %v, %v", m, err)
	}
}
