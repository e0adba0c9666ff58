package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// TextKey is the key of the configuration text in the key-value store.
const TextKey = "/gt/text"

// maxRecord is the largest value in bytes that the key-value store accepts.
const maxRecord = 1 << 20

// maxPastWrites is how many earlier writes a record names, so that a writer whose
// response was lost recognizes its write after it was replaced by others.
const maxPastWrites = 16

// Record is the configuration text as stored in the key-value store.
type Record struct {
	Version uint64    `json:"version"`
	Text    string    `json:"text"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	// Write identifies the write that stored this version.
	Write string `json:"write"`
	// PastWrites holds the Write of the previous versions, newest first.
	PastWrites []string `json:"past,omitempty"`
}

// includesWrite reports whether the write stored this version or an earlier one.
func (r *Record) includesWrite(write string) bool {
	if r.Write == write {
		return true
	}
	for _, p := range r.PastWrites {
		if p == write {
			return true
		}
	}
	return false
}

// textGetter is the part of the key-value store that reading the text uses.
type textGetter interface {
	Get(ctx context.Context, key string) (etcd.Pair, error)
}

// ReadText reads the stored text and the revision of its key. Version zero
// means that no text is stored yet.
func ReadText(ctx context.Context, s textGetter) (Record, int64, error) {
	p, err := s.Get(ctx, TextKey)
	if err != nil {
		return Record{}, 0, errors.Wrap(err, "read text")
	}
	r, err := DecodeRecord(p.Value)
	return r, p.Modified, err
}

// DecodeRecord decodes a value of TextKey; an empty value is the zero Record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.Wrap(err, "decode record of the configuration text")
	}
	return r, nil
}

const versionLine = "# version "

// Format returns the text below a line that names its version. SplitVersion reads
// that line when the edited text is applied.
func (r *Record) Format() string {
	return fmt.Sprintf("%s%d by %s at %s\n%s", versionLine, r.Version, r.Author, r.At.UTC().Format(time.RFC3339), r.Text)
}

// SplitVersion splits a file into the version that its first line names and the
// text below it. Without such a line the version is zero.
func SplitVersion(file []byte) (uint64, []byte) {
	line, rest, _ := bytes.Cut(file, []byte("\n"))
	after, ok := strings.CutPrefix(string(line), versionLine)
	if !ok {
		return 0, file
	}
	number, _, _ := strings.Cut(after, " ")
	v, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, file
	}
	return v, rest
}
