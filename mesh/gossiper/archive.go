package gossiper

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/record"
)

// maxSpec bounds a decompressed specification; the store holds values of up to one megabyte.
const maxSpec = 4 << 20

type key struct {
	kind record.Kind
	name string
}

// archive keeps the newest version of each record, with its specification compressed as it is sent.
type archive struct {
	records map[key]record.Record
	highest map[record.Kind]uint64
}

func newArchive() *archive {
	return &archive{records: map[key]record.Record{}, highest: map[record.Kind]uint64{}}
}

// take keeps the record if it is newer than the one that is known, and reports whether it is.
func (a *archive) take(r record.Record) bool {
	k := key{r.Kind, r.Name}
	if old, known := a.records[k]; known && r.Revision <= old.Revision {
		return false
	}
	a.records[k] = r
	a.highest[r.Kind] = max(a.highest[r.Kind], r.Revision)
	return true
}

// after returns the records of the kind that are newer than the revision, oldest first.
func (a *archive) after(kind record.Kind, revision uint64) []record.Record {
	var rs []record.Record
	for k, r := range a.records {
		if k.kind == kind && r.Revision > revision {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(x, y record.Record) int {
		if x.Revision < y.Revision {
			return -1
		}
		return 1
	})
	return rs
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSpec+1))
	if err != nil || len(out) > maxSpec {
		return nil, fault.Wrap(fault.Invalid, err, "malformed record from another node", "check that both nodes run compatible releases")
	}
	return out, nil
}
