package job

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// maxRawID bounds the length of a job ID in the binary form of a task's name.
const maxRawID = 255

// MarshalBinary returns a short form of the name for messages between daemons.
// A job ID of 16 lower-case digits takes eight bytes after a zero byte; any
// other ID follows its length. The zero Task has an empty form.
func (t Task) MarshalBinary() ([]byte, error) {
	if t == (Task{}) {
		return nil, nil
	}
	b := make([]byte, 1, 24)
	id, err := hex.DecodeString(string(t.Job))
	switch {
	case err == nil && len(id) == 8 && hex.EncodeToString(id) == string(t.Job):
		b = append(b, id...)
	case t.Job == "" || len(t.Job) > maxRawID:
		return nil, errors.Errorf("encode task name: job id of %d bytes", len(t.Job))
	default:
		b[0] = byte(len(t.Job))
		b = append(b, t.Job...)
	}
	for _, n := range []int{t.Occ, t.Step, t.Index} {
		b = binary.AppendUvarint(b, uint64(n))
	}
	return b, nil
}

// UnmarshalBinary decodes the form returned by MarshalBinary.
func (t *Task) UnmarshalBinary(b []byte) error {
	*t = Task{}
	if len(b) == 0 {
		return nil
	}
	n, b := int(b[0]), b[1:]
	short := n == 0
	if short {
		n = 8
	}
	if len(b) < n {
		return errors.Errorf("decode task name: job id of %d bytes, expected %d", len(b), n)
	}
	id := ID(b[:n])
	if short {
		id = ID(hex.EncodeToString(b[:n]))
	}
	b = b[n:]
	var v [3]int
	for i := range v {
		u, used := binary.Uvarint(b)
		if used <= 0 || u > maxTaskNumber {
			return errors.New("decode task name: number missing or out of range")
		}
		v[i], b = int(u), b[used:]
	}
	if len(b) > 0 {
		return errors.Errorf("decode task name: %d bytes too many", len(b))
	}
	*t = Task{Job: id, Occ: v[0], Step: v[1], Index: v[2]}
	return nil
}

// maxTaskNumber bounds the numbers in a task's name.
const maxTaskNumber = 1 << 31
