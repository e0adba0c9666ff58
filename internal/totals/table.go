package totals

import (
	"cmp"
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// Row is one line of the table.
type Row struct {
	Day     Day
	Service string
	Count
}

// lister is the part of the key-value store that Read uses.
type lister interface {
	List(ctx context.Context, prefix string) ([]etcd.Pair, int64, error)
}

// Read returns the sums of the totals of all daemons for the days from first to
// last, both included. An empty bound is open. Rows are sorted by day and
// service.
func Read(ctx context.Context, s lister, first, last Day) ([]Row, error) {
	return read(ctx, s, Prefix, first, last)
}

// ReadDay returns the sums of the totals of all daemons for one day, and reads
// only the keys of that day.
func ReadDay(ctx context.Context, s lister, day Day) ([]Row, error) {
	return read(ctx, s, Prefix+string(day)+"/", day, day)
}

func read(ctx context.Context, s lister, prefix string, first, last Day) ([]Row, error) {
	pairs, _, err := s.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "read totals")
	}
	sums := make(map[cell]*Count)
	for _, p := range pairs {
		day, _, _ := strings.Cut(strings.TrimPrefix(p.Key, Prefix), "/")
		if Day(day) < first || (last != "" && Day(day) > last) {
			continue
		}
		var counts map[string]Count
		if err := json.Unmarshal(p.Value, &counts); err != nil {
			return nil, errors.Wrapf(err, "read totals %s", p.Key)
		}
		for service, c := range counts {
			k := cell{Day(day), service}
			if sums[k] == nil {
				sums[k] = new(Count)
			}
			sums[k].add(&c)
		}
	}
	return sorted(sums), nil
}

func sorted(sums map[cell]*Count) []Row {
	rows := make([]Row, 0, len(sums))
	for k, c := range sums {
		rows = append(rows, Row{k.day, k.service, *c})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Service, b.Service))
	})
	return rows
}

// Write prints the rows as tab-separated values under a header row.
func Write(w io.Writer, rows []Row) error {
	tsv := csv.NewWriter(w)
	tsv.Comma = '\t'
	header := []string{"day", "service"}
	for _, col := range columns {
		header = append(header, col.name)
	}
	records := [][]string{header}
	for i := range rows {
		record := []string{string(rows[i].Day), rows[i].Service}
		for _, col := range columns {
			record = append(record, strconv.FormatInt(*col.field(&rows[i].Count), 10))
		}
		records = append(records, record)
	}
	return errors.Wrap(tsv.WriteAll(records), "write totals")
}
