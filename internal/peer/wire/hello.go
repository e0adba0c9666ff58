package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// protocol is the version of the message formats. Both ends use the lower of
// their versions; version 1 is the only one so far.
const protocol = 1

const (
	nonceSize    = 16
	helloTimeout = 2 * time.Second
)

// direction indicates which end of a link sent a proof.
type direction byte

const (
	dialing   direction = 'd'
	accepting direction = 'a'
)

func (d direction) other() direction {
	if d == dialing {
		return accepting
	}
	return dialing
}

// framer sends and receives the single messages of the handshake.
type framer interface {
	Write(ctx context.Context, m message.Message) error
	Read(ctx context.Context) (message.Message, error)
}

// handshake exchanges hellos, then proofs. A proof covers the sender's
// direction, both identities and both nonces, so neither a reflected nor a
// replayed proof is accepted. The accepting end sends its proof only after it
// has verified that of the peer.
func handshake(ctx context.Context, f framer, self message.Daemon, secret []byte, dir direction) (message.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	mine := message.Hello{Protocol: protocol, Daemon: self, Nonce: make([]byte, nonceSize)}
	rand.Read(mine.Nonce) // never fails
	theirs, err := exchange(ctx, f, dir, mine, func(h message.Hello) error {
		if h.Protocol < 1 || len(h.Nonce) != nonceSize {
			return errors.Errorf("invalid hello of protocol version %d", h.Protocol)
		}
		return nil
	})
	if err != nil {
		return message.Daemon{}, err
	}
	want := proof(secret, dir.other(), theirs, mine)
	_, err = exchange(ctx, f, dir, message.Proof{MAC: proof(secret, dir, mine, theirs)}, func(p message.Proof) error {
		if !hmac.Equal(p.MAC, want) {
			return errors.Errorf("proof of %s does not match the secret", theirs.Daemon.Name)
		}
		return nil
	})
	return theirs.Daemon, err
}

// exchange sends one message and receives one of the same type. The dialing
// end sends first; the accepting end sends only if the received message passes
// check.
func exchange[M message.Message](ctx context.Context, f framer, dir direction, mine M, check func(M) error) (theirs M, err error) {
	if dir == dialing {
		if err := f.Write(ctx, mine); err != nil {
			return theirs, err
		}
	}
	m, err := f.Read(ctx)
	if err != nil {
		return theirs, err
	}
	theirs, ok := m.(M)
	if !ok {
		return theirs, errors.Errorf("received %T, expected %T", m, theirs)
	}
	if err := check(theirs); err != nil {
		return theirs, err
	}
	if dir == accepting {
		return theirs, f.Write(ctx, mine)
	}
	return theirs, nil
}

// proof returns the HMAC of one direction, over the prover's hello and the
// other end's hello.
func proof(secret []byte, dir direction, prover, other message.Hello) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("gypsumtrestle peer proof "))
	h.Write([]byte{byte(dir)})
	for _, m := range []message.Hello{prover, other} {
		var v [8]byte
		binary.BigEndian.PutUint64(v[:], m.Protocol)
		d := m.Daemon
		for _, s := range []string{string(v[:]), string(m.Nonce), d.Name, d.Zone, d.Incarnation, d.PeerAddr.String(), d.CallerAddr.String()} {
			writeField(h, s)
		}
	}
	return h.Sum(nil)
}

// writeField writes the length first, so that two different lists of fields
// cannot produce the same bytes.
func writeField(h hash.Hash, s string) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}

// bothLoopback reports whether both ends of a connection have loopback
// addresses. A link without a secret is allowed only then.
func bothLoopback(local, remote string) bool {
	for _, s := range []string{local, remote} {
		ap, err := netip.ParseAddrPort(s)
		if err != nil || !ap.Addr().Unmap().IsLoopback() {
			return false
		}
	}
	return true
}
