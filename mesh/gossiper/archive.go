package gossiper

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/record"
)

// maxSpecBytes bounds a decompressed specification; a value in the store is at most one megabyte.
const maxSpecBytes = 4 << 20

type recordKey struct {
	kind record.Kind
	name string
}

// recordSet holds the newest of each record; specifications stay compressed, as they are sent. Orders are ordered by their
// positions in the store, configurations by their own versions, which a store that was restored does not give out again.
type recordSet struct {
	byKey   map[recordKey]record.Record
	highest map[record.Kind]uint64 // highest position of the orders and version of the configuration
}

func newRecordSet() *recordSet {
	return &recordSet{byKey: map[recordKey]record.Record{}, highest: map[record.Kind]uint64{}}
}

// putConfiguration stores a configuration of the version, whatever is stored.
func (a *recordSet) putConfiguration(r record.Record, version uint64) {
	a.byKey[recordKey{r.Kind, ""}] = r
	a.highest[r.Kind] = version
}

// configuration returns the stored configuration, or a record without content.
func (a *recordSet) configuration() record.Record {
	return a.byKey[recordKey{record.Configuration, ""}]
}

// newerConfiguration returns the configuration if it has a higher version.
func (a *recordSet) newerConfiguration(version uint64) []record.Record {
	if a.highest[record.Configuration] <= version {
		return nil
	}
	return []record.Record{a.configuration()}
}

// put stores the record if it is newer than the stored one, and reports whether it did. It is not for configurations.
func (a *recordSet) put(r record.Record) bool {
	k := recordKey{r.Kind, r.Name}
	if old, known := a.byKey[k]; known && r.Revision <= old.Revision {
		return false
	}
	a.byKey[k] = r
	a.highest[r.Kind] = max(a.highest[r.Kind], r.Revision)
	return true
}

// newerThan returns the records of the kind with a higher position, in ascending order.
func (a *recordSet) newerThan(kind record.Kind, position uint64) []record.Record {
	var rs []record.Record
	for k, r := range a.byKey {
		if k.kind == kind && r.Revision > position {
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
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSpecBytes+1))
	if err != nil || len(out) > maxSpecBytes {
		return nil, fault.Wrap(fault.Invalid, err, "malformed record from another node",
			"check that both nodes run compatible releases")
	}
	return out, nil
}
