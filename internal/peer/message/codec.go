package message

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Size limits of one encoded message.
const (
	MaxMessage = 64 << 10
	MaxPlan    = 1<<20 + 64<<10
	MaxHello   = 4 << 10
)

// ErrUnknownType is a well-formed message of a type that this version does
// not know. The receiver skips it, so that daemons of two versions can link.
var ErrUnknownType = errors.New("unknown message type")

// Instants cross a link with a precision of 1 µs, which takes 9 bytes.
var encMode = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

var decMode = must(cbor.DecOptions{
	DupMapKey:       cbor.DupMapKeyEnforcedAPF,
	IndefLength:     cbor.IndefLengthForbidden,
	TagsMd:          cbor.TagsForbidden,
	MaxNestedLevels: 8,
}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// sent and received are the same array of two elements; the body of a received
// frame is decoded once its type is known.
type sent struct {
	_    struct{} `cbor:",toarray"`
	Tag  tag
	Body Message
}

type received struct {
	_    struct{} `cbor:",toarray"`
	Tag  tag
	Body cbor.RawMessage
}

// limitOf returns the size limit of a message's encoding. The tag of a plan
// takes one byte after the array's head.
func limitOf(b []byte) int {
	if len(b) >= 2 && b[0] == 0x82 && b[1] == byte(tagPlan) {
		return MaxPlan
	}
	return MaxMessage
}

// Encode returns the frame of a message, within the limit of its type.
func Encode(m Message) ([]byte, error) {
	b, err := encMode.Marshal(sent{Tag: m.tag(), Body: m})
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	if len(b) > limitOf(b) {
		return nil, errors.Errorf("encode %T: %d bytes exceed the limit", m, len(b))
	}
	return b, nil
}

// ReadFrame reads one frame and stops at the size limit of its type.
func ReadFrame(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err != nil || len(b) <= MaxMessage {
		return b, err
	}
	limit := limitOf(b)
	if limit > len(b) {
		rest, err := io.ReadAll(io.LimitReader(r, int64(limit-len(b)+1)))
		if err != nil {
			return nil, err
		}
		b = append(b, rest...)
	}
	if len(b) > limit {
		return nil, errors.Errorf("message exceeds %d bytes", limit)
	}
	return b, nil
}

// Decode returns the message in a frame, or ErrUnknownType.
func Decode(b []byte) (Message, error) {
	if len(b) > limitOf(b) {
		return nil, errors.Errorf("message of %d bytes exceeds the limit", len(b))
	}
	var f received
	if err := decMode.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	switch f.Tag {
	case tagHello:
		return body[Hello](f)
	case tagProof:
		return body[Proof](f)
	case tagBeat:
		return body[Heartbeat](f)
	case tagPlan:
		return body[Plan](f)
	case tagMap:
		return body[Map](f)
	case tagLeaving:
		return body[Leaving](f)
	case tagLoad:
		return body[Load](f)
	case tagRoom:
		return body[FreeSlots](f)
	case tagClaim:
		return body[Claim](f)
	case tagGrant:
		return body[Grant](f)
	case tagReport:
		return body[Report](f)
	case tagConfirm:
		return body[Confirm](f)
	case tagBye:
		return body[Shutdown](f)
	default:
		return nil, ErrUnknownType
	}
}

func body[M Message](f received) (Message, error) {
	var m M
	if err := decMode.Unmarshal(f.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %T", m)
	}
	return m, nil
}
