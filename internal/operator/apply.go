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

// retryPause is the pause before a write with unknown outcome is sent again.
const retryPause = 200 * time.Millisecond

// ConflictError tells that another version stands than the one the edit was based
// on.
type ConflictError struct {
	Base    uint64
	Current Record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("lost the race: the edit is based on version %d, version %d by %s stands since %s",
		e.Base, e.Current.Version, e.Current.Author, e.Current.At.UTC().Format(time.RFC3339))
}

// store is what Apply needs of the platform's service.
type store interface {
	getter
	Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error)
}

// Edit is a text to be put in force.
type Edit struct {
	Text   []byte
	Author string
	// Base is the version that the edit started from.
	Base uint64
	// ActiveVersion is the highest version that a daemon has in force.
	ActiveVersion uint64
	// Hosts is the number of worker hosts by zone; nil skips that check.
	Hosts map[string]int
}

// Apply checks the edit and stores it. The error is text.Findings when the
// text is refused, *RaceError when another version stands, and any other error
// when the platform cannot be asked. It returns only when the outcome is known
// or ctx has ended.
func Apply(ctx context.Context, s store, now time.Time, e Edit) (Record, error) {
	t, err := text.Parse(e.Text)
	if err != nil {
		return Record{}, err
	}
	if e.Hosts != nil {
		if fs := t.Fit(e.Hosts); len(fs) > 0 {
			return Record{}, fs
		}
	}
	standing, revision, err := ReadText(ctx, s)
	if err != nil {
		return Record{}, err
	}
	if base := max(standing.Version, e.ActiveVersion); e.Base != base {
		standing.Version = base
		return Record{}, &ConflictError{e.Base, standing}
	}
	next := Record{
		Version: max(standing.Version, e.ActiveVersion) + 1, Text: string(e.Text), Author: e.Author, At: now,
		Write: uuid.NewString(), PastWrites: past(&standing),
	}
	return write(ctx, s, revision, next)
}

func past(r *Record) []string {
	if r.Write == "" {
		return nil
	}
	p := append([]string{r.Write}, r.PastWrites...)
	return p[:min(len(p), pastWrites)]
}

// write stores the record if the key still has the revision. A write whose
// outcome is unknown is sent again with the same comparison: at most one of
// the two can take effect.
func write(ctx context.Context, s store, revision int64, next Record) (Record, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode text")
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
			return settled(res, next)
		}
		var unknown *etcd.UnknownError
		lost = lost || stderrors.As(err, &unknown)
		if !lost {
			return Record{}, errors.Wrapf(err, "version %d not applied", next.Version)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return Record{}, errors.Wrapf(err, "version %d may or may not have been applied", next.Version)
		}
	}
}

// settled tells from the transaction's result whether the record was stored.
func settled(res etcd.TxnResult, next Record) (Record, error) {
	if res.Applied {
		return next, nil
	}
	var standing Record
	if len(res.Else) > 0 {
		var err error
		if standing, err = DecodeRecord(res.Else[0].Value); err != nil {
			return Record{}, err
		}
	}
	if standing.wrote(next.Write) {
		return next, nil
	}
	return Record{}, &ConflictError{next.Version - 1, standing}
}
