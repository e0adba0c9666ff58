package claim

import (
	"crypto/rand"
	"encoding/binary"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// MaxAge is the age after which a key is refused.
	MaxAge = 15 * time.Minute
	// MaxSkew is how far in the future a key may have been minted.
	MaxSkew = 2 * time.Second
)

// idSize is the length of a UUID's text.
const idSize = 36

// maxHome bounds the incarnation in a key's text.
const maxHome = 128

// Key is an idempotency key. Home is the daemon incarnation that decides its
// claims; it is empty in a caller's own key until the home is found.
type Key struct {
	ID    uuid.UUID
	Owner string
}

// ParseKey reads `<uuidv7>` or `<uuidv7>.<incarnation>`.
func ParseKey(s string) (Key, error) {
	id, home, minted := s, "", false
	if len(s) > idSize && s[idSize] == '.' {
		id, home, minted = s[:idSize], s[idSize+1:], true
	}
	u, err := uuid.Parse(id)
	if err != nil || len(id) != idSize || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, errors.New("idempotency key: expected a UUID of version 7")
	}
	if minted && (strings.LastIndexByte(home, '.') < 1 || len(home) > maxHome) {
		return Key{}, errors.New("idempotency key: expected an incarnation after the UUID")
	}
	return Key{ID: u, Owner: home}, nil
}

// Mint returns a new key with a home.
func Mint(now time.Time, incarnation string) Key {
	var u uuid.UUID
	rand.Read(u[:]) // never fails
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(u[:6], ms[2:])
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return Key{ID: u, Owner: incarnation}
}

// Minted returns the instant in the key, in whole milliseconds.
func (k Key) Minted() time.Time {
	var ms [8]byte
	copy(ms[2:], k.ID[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// String returns the key as ParseKey reads it.
func (k Key) String() string {
	if k.Owner == "" {
		return k.ID.String()
	}
	return k.ID.String() + "." + k.Owner
}
