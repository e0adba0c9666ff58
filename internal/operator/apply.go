package operator

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// retryDelay is the delay before a write with unknown outcome is retried.
const retryDelay = 200 * time.Millisecond

// ConflictError means that the current version is not the one that the edit was
// based on.
type ConflictError struct {
	Base    uint64
	Current Record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost the race: the edit is based on version %d, version %d by %s stands since %s",
		e.Base, e.Current.Version, e.Current.Author, e.Current.At.UTC().Format(time.RFC3339))
}

// textStore is the part of the key-value store that Apply uses.
type textStore interface {
	textGetter
	Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error)
}

// Edit is a configuration text to apply.
type Edit struct {
	Text   []byte
	Author string
	// Base is the version that the edit started from.
	Base uint64
	// ActiveVersion is the highest version that is active at a daemon.
	ActiveVersion uint64
	// Hosts is the number of worker hosts by zone; nil skips that check.
	Hosts map[string]int
}

// Apply checks the edit and stores it. The error is text.Findings if the text is
// rejected, *ConflictError if another version is current, and another error if
// the store is unavailable. Apply returns only when the outcome is known or ctx
// has ended.
func Apply(ctx context.Context, s textStore, now time.Time, e Edit) (Record, error) {
	t, err := text.Parse(e.Text)
	if err != nil {
		return Record{}, err
	}
	if e.Hosts != nil {
		if fs := t.Fit(e.Hosts); len(fs) > 0 {
			return Record{}, fs
		}
	}
	current, revision, err := ReadText(ctx, s)
	if err != nil {
		return Record{}, err
	}
	if base := max(current.Version, e.ActiveVersion); e.Base != base {
		current.Version = base
		return Record{}, &ConflictError{e.Base, current}
	}
	next := Record{
		Version: max(current.Version, e.ActiveVersion) + 1, Text: string(e.Text), Author: e.Author, At: now,
		Write: uuid.NewString(), PastWrites: pastWrites(&current),
	}
	return write(ctx, s, revision, next)
}

// pastWrites returns PastWrites of the record that replaces r.
func pastWrites(r *Record) []string {
	if r.Write == "" {
		return nil
	}
	p := append([]string{r.Write}, r.PastWrites...)
	return p[:min(len(p), maxPastWrites)]
}

// write stores the record if the key still has the revision. A write with
// unknown outcome is retried with the same comparison, so at most one attempt
// can take effect.
func write(ctx context.Context, s textStore, revision int64, next Record) (Record, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode record of the configuration text")
	}
	if len(value) > maxRecord {
		return Record{}, text.Findings{{Line: 1, Column: 1, Message: fmt.Sprintf("text takes %d bytes when stored, the platform holds %d", len(value), maxRecord)}}
	}
	txn := etcd.Txn{
		Conds: []etcd.Cond{{Key: TextKey, Modified: revision}},
		Puts:  []etcd.Put{{Key: TextKey, Value: value}},
		Else:  []string{TextKey},
	}
	lost := false
	for {
		res, err := s.Do(ctx, txn)
		if err == nil {
			return writeOutcome(res, next)
		}
		var unknown *etcd.UnknownError
		lost = lost || stderrors.As(err, &unknown)
		if !lost {
			return Record{}, errors.Wrapf(err, "version %d not applied", next.Version)
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return Record{}, errors.Wrapf(err, "version %d may or may not have been applied", next.Version)
		}
	}
}

// writeOutcome determines from the result of the transaction whether the record
// was stored.
func writeOutcome(res etcd.TxnResult, next Record) (Record, error) {
	if res.Applied {
		return next, nil
	}
	var current Record
	if len(res.Else) > 0 {
		var err error
		if current, err = DecodeRecord(res.Else[0].Value); err != nil {
			return Record{}, err
		}
	}
	if current.includesWrite(next.Write) {
		return next, nil
	}
	return Record{}, &ConflictError{next.Version - 1, current}
}
