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
	// MaxAge is the age up to which a key is accepted.
	MaxAge = 15 * time.Minute
	// MaxSkew is how far in the future the time of a key may be.
	MaxSkew = 2 * time.Second
)

// idSize is the length of the text of a UUID.
const idSize = 36

// maxOwner is the maximum length of the incarnation in the text of a key.
const maxOwner = 128

// Key is an idempotency key. Owner is the daemon incarnation that decides its
// claims; it is empty for a caller's own key until the owner has been found.
type Key struct {
	ID    uuid.UUID
	Owner string
}

// ParseKey parses `<uuidv7>` or `<uuidv7>.<incarnation>`.
func ParseKey(s string) (Key, error) {
	id, owner, hasOwner := s, "", false
	if len(s) > idSize && s[idSize] == '.' {
		id, owner, hasOwner = s[:idSize], s[idSize+1:], true
	}
	u, err := uuid.Parse(id)
	if err != nil || len(id) != idSize || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, errors.New("idempotency key: expected a UUID of version 7")
	}
	if hasOwner && (strings.LastIndexByte(owner, '.') < 1 || len(owner) > maxOwner) {
		return Key{}, errors.New("idempotency key: expected an incarnation after the UUID")
	}
	return Key{ID: u, Owner: owner}, nil
}

// Mint returns a new key with the given incarnation as its owner.
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

// Minted returns the time in the key, with a resolution of 1 ms.
func (k Key) Minted() time.Time {
	var ms [8]byte
	copy(ms[2:], k.ID[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// String returns the key in the format that ParseKey accepts.
func (k Key) String() string {
	if k.Owner == "" {
		return k.ID.String()
	}
	return k.ID.String() + "." + k.Owner
}
