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

// FuzzDecode guards against frames that make the decoder panic, and against
// messages whose meaning changes when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	at := time.Unix(1700000000, 123456000)
	for _, m := range []Message{
		Hello{Protocol: 1, Daemon: Daemon{Name: "a"}, Nonce: []byte("n")},
		Proof{MAC: []byte("m")},
		Heartbeat{At: at, PlanVersion: 1, MapVersions: map[string]uint64{"a": 2}, Peers: []Daemon{{Name: "b"}}},
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
			if len(b) > MaxMessageSize/4 { // a lenient encoding may grow
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
			t.Errorf("%+v changed to %+v when encoded again (error %v)", m, m2, err)
		}
	})
}

// TestLimits guards the size limits, which both ends enforce: a plan may hold a
// configuration text of 1 MB, and any other type at most 64 KB.
func TestLimits(t *testing.T) {
	if _, err := Encode(Plan{Version: 1, Text: make([]byte, 1<<20)}); err != nil {
		t.Error(err)
	}
	if _, err := Encode(Plan{Version: 1, Text: make([]byte, MaxPlanSize)}); err == nil {
		t.Error("plan over the size limit was encoded")
	}
	if _, err := Encode(Claim{Key: strings.Repeat("k", MaxMessageSize)}); err == nil {
		t.Error("claim over the size limit was encoded")
	}
	for tag, limit := range map[byte]int{4: MaxPlanSize, 9: MaxMessageSize} {
		b := make([]byte, limit+1)
		b[0], b[1] = 0x82, tag
		if got, err := ReadFrame(bytes.NewReader(b[:limit])); err != nil || len(got) != limit {
			t.Errorf("type %d at its size limit: read %d bytes, error %v", tag, len(got), err)
		}
		if _, err := ReadFrame(bytes.NewReader(b)); err == nil {
			t.Errorf("type %d over its size limit was read", tag)
		}
	}
}

// TestUnknown guards against a rolling upgrade that fails because of types or
// fields of a later version, which must be skipped.
func TestUnknown(t *testing.T) {
	if _, err := Decode([]byte{0x82, 0x18, 0xc8, 0xa0}); !errors.Is(err, ErrUnknownType) {
		t.Errorf("type of a later version: got error %v, want ErrUnknownType", err)
	}
	m, err := Decode([]byte{0x82, 13, 0xa2, 1, 0x61, 'x', 0x18, 99, 1}) // [13, {1: "x", 99: 1}]
	if m != (Shutdown{Incarnation: "x"}) || err != nil {
		t.Errorf("field of a later version: got %v, %v", m, err)
	}
}
