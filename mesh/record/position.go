package record

// revisionBits is the number of low bits of a position that hold the revision; the era is above them.
const revisionBits = 40

// The largest era and revision that a position can hold.
const (
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// Position returns the place of a change in the order of all changes of the store. The era is the number of times that the
// store was restored from an older copy, after which it gives out revisions again; the store orders the changes of an era
// by their revisions. Values above MaxEra and MaxRevision are not valid.
func Position(era, revision uint64) uint64 { return era<<revisionBits | revision&MaxRevision }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> revisionBits }

// RevisionIn returns the store's revision in a position, which the store knows only in the position's era.
func RevisionIn(position uint64) uint64 { return position & MaxRevision }
