package message

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Size limits of one encoded message, in bytes.
const (
	MaxMessageSize = 64 << 10
	MaxPlanSize    = 1<<20 + 64<<10
	MaxHelloSize   = 4 << 10
)

// ErrUnknownType is returned for a well-formed message of a type that this
// version does not support. The receiver skips it, so that daemons of two
// versions can link.
var ErrUnknownType = errors.New("unknown message type")

// Times are encoded with a precision of 1 µs, which takes 9 bytes.
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

// sent and received encode to the same array of two elements. The body of a
// received frame is decoded once its type is known.
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

// sizeLimit returns the size limit of a message's encoding. The tag of a plan
// is the one byte after the array's head.
func sizeLimit(b []byte) int {
	if len(b) >= 2 && b[0] == 0x82 && b[1] == byte(tagPlan) {
		return MaxPlanSize
	}
	return MaxMessageSize
}

// Encode returns the frame of a message. It fails if the frame exceeds the size
// limit of its type.
func Encode(m Message) ([]byte, error) {
	b, err := encMode.Marshal(sent{Tag: m.tag(), Body: m})
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	if len(b) > sizeLimit(b) {
		return nil, errors.Errorf("encode %T: %d bytes exceed the size limit", m, len(b))
	}
	return b, nil
}

// ReadFrame reads one frame. It fails if the frame exceeds the size limit of
// its type.
func ReadFrame(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxMessageSize+1))
	if err != nil || len(b) <= MaxMessageSize {
		return b, err
	}
	limit := sizeLimit(b)
	if limit > len(b) {
		rest, err := io.ReadAll(io.LimitReader(r, int64(limit-len(b)+1)))
		if err != nil {
			return nil, err
		}
		b = append(b, rest...)
	}
	if len(b) > limit {
		return nil, errors.Errorf("message exceeds the size limit of %d bytes", limit)
	}
	return b, nil
}

// Decode returns the message in a frame, or ErrUnknownType.
func Decode(b []byte) (Message, error) {
	if len(b) > sizeLimit(b) {
		return nil, errors.Errorf("decode frame: message of %d bytes exceeds the size limit", len(b))
	}
	var f received
	if err := decMode.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	switch f.Tag {
	case tagHello:
		return decodeBody[Hello](f)
	case tagProof:
		return decodeBody[Proof](f)
	case tagHeartbeat:
		return decodeBody[Heartbeat](f)
	case tagPlan:
		return decodeBody[Plan](f)
	case tagMap:
		return decodeBody[Map](f)
	case tagLeaving:
		return decodeBody[Leaving](f)
	case tagLoad:
		return decodeBody[Load](f)
	case tagFreeSlots:
		return decodeBody[FreeSlots](f)
	case tagClaim:
		return decodeBody[Claim](f)
	case tagGrant:
		return decodeBody[Grant](f)
	case tagReport:
		return decodeBody[Report](f)
	case tagConfirm:
		return decodeBody[Confirm](f)
	case tagShutdown:
		return decodeBody[Shutdown](f)
	default:
		return nil, ErrUnknownType
	}
}

func decodeBody[M Message](f received) (Message, error) {
	var m M
	if err := decMode.Unmarshal(f.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %T", m)
	}
	return m, nil
}
