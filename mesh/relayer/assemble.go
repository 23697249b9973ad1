package relayer

import (
	"fmt"
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/share"
)

const partsPlural = "parts"

// listThreshold is the number of missing parts above which one list costs less of the budget than single reads.
const listThreshold = 10

// assemble builds the state of the newest head, after it has read the parts that it lacks from the store.
func (r *relayer) assemble() {
	s := &r.supply
	h := s.head
	if r.seat < 0 || h.Version() <= s.latest.Version() || s.refusals[h.Version()] || h.Version() == s.withheld.Version() {
		return
	}
	parts := make(map[string]differ.Definition, len(h.DefinitionDigests()))
	var missing []string
	for _, service := range slices.Sorted(maps.Keys(h.DefinitionDigests())) {
		digest := h.DefinitionDigests()[service]
		if p, ok := s.latest.Definition(service); ok && p.Digest() == digest {
			parts[service] = p
		} else if p, ok := s.fetched[digest]; ok {
			parts[service] = p
		} else {
			missing = append(missing, digest)
		}
	}
	if len(missing) > 0 {
		r.fetch(missing)
		return
	}
	shares := h.Shares()
	if shares == nil {
		shares = map[string]share.Share{}
	}
	state, err := differ.New(h.Version(), h.Preset(), parts, shares)
	if err != nil {
		r.refuse(h.Version(), err.Error())
		return
	}
	s.fetched = map[string]differ.Definition{}
	r.accept(state)
}

func (r *relayer) fetch(digests []string) {
	if !r.acting() {
		return
	}
	if len(digests) > listThreshold {
		r.fetchAll()
		return
	}
	for _, digest := range digests {
		if r.supply.fetching[digest] {
			continue
		}
		r.supply.fetching[digest] = r.request(effect.Get, object.New(partsPlural, digest, "", nil), false,
			func(e event.Event) {
				delete(r.supply.fetching, digest)
				r.partAnswered(digest, e)
			})
	}
}

func (r *relayer) fetchAll() {
	const all = "*"
	if r.supply.fetching[all] {
		return
	}
	r.supply.fetching[all] = r.request(effect.List, object.New(partsPlural, "", "", nil), false, func(e event.Event) {
		delete(r.supply.fetching, all)
		if e.Err() != nil {
			return
		}
		found := map[string]bool{}
		for _, o := range e.Objects() {
			found[o.Name()] = true
			r.storePart(o.Name(), o)
		}
		for _, digest := range r.supply.head.DefinitionDigests() {
			if _, ok := r.supply.fetched[digest]; !ok && found[digest] {
				r.refuse(r.supply.head.Version(), "part "+digest+" cannot be decoded or does not match its digest")
				return
			}
		}
		r.assemble()
	})
}

func (r *relayer) partAnswered(digest string, e event.Event) {
	if e.Err() != nil {
		if fault.KindOf(e.Err()) == fault.NotFound && r.needs(digest) {
			r.refuse(r.supply.head.Version(), fmt.Sprintf("part %s is missing in the store", digest))
		}
		return
	}
	if err := r.storePart(digest, e.Object()); err != nil && r.needs(digest) {
		r.refuse(r.supply.head.Version(), err.Error())
		return
	}
	r.assemble()
}

// needs reports whether the newest head still names the digest.
func (r *relayer) needs(digest string) bool {
	for _, d := range r.supply.head.DefinitionDigests() {
		if d == digest {
			return true
		}
	}
	return false
}

func (r *relayer) storePart(digest string, o object.Object) error {
	p, err := differ.DecodeDefinition(o.Spec())
	if err != nil {
		return err
	}
	if p.Digest() != digest {
		return fault.New(fault.Invalid, fmt.Sprintf("part %s has the digest %s", digest, p.Digest()), "apply the preset again")
	}
	r.supply.fetched[digest] = p
	return nil
}
