package revalidator

import "time"

// maxProofs bounds the proofs that are kept; each one further is of a newer version than this node's.
const maxProofs = 16

// proof says that a read of the store which began at the moment found no configuration newer than the version.
type proof struct {
	moment  time.Duration // by this host's boot-time clock
	version uint64
}

// proofs holds, in ascending order of versions, the proofs whose moments are later than those of all lower versions. It is
// immutable: a node that has not yet the version of the newest proof needs the newest of its own version, and later the
// other.
type proofs []proof

// newest returns the latest moment at which nothing newer than the version existed.
func (ps proofs) newest(version uint64) (moment time.Duration, ok bool) {
	for _, p := range ps {
		if p.version > version {
			break
		}
		moment, ok = p.moment, true
	}
	return moment, ok
}

// beyond reports whether there is a proof of a newer version.
func (ps proofs) beyond(version uint64) bool { return len(ps) > 0 && ps[len(ps)-1].version > version }

// add returns the proofs with p, and false if p shows nothing new.
func (ps proofs) add(p proof) (proofs, bool) {
	if known, ok := ps.newest(p.version); ok && known >= p.moment {
		return ps, false
	}
	next := make(proofs, 0, len(ps)+1)
	for _, old := range ps {
		if old.version < p.version {
			next = append(next, old)
		}
	}
	next = append(next, p)
	for _, old := range ps {
		if old.version > p.version && old.moment > p.moment {
			next = append(next, old)
		}
	}
	if len(next) > maxProofs {
		next = next[len(next)-maxProofs:]
	}
	return next, true
}
