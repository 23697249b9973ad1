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

const definitionsPlural = "parts"

// maxSingleReads is the number of missing definitions above which they are read by one list, to spare the store budget.
const maxSingleReads = 10

// assemble builds the state of the newest head; it first reads missing definitions from the store.
func (r *relayer) assemble() {
	s := &r.distribution
	h := s.head
	if r.leaseIndex < 0 || h.Version() <= s.latestState.Version() || s.invalidVersions[h.Version()] ||
		h.Version() == s.withheldState.Version() {
		return
	}
	definitions := make(map[string]differ.Definition, len(h.DefinitionDigests()))
	var missing []string
	for _, service := range slices.Sorted(maps.Keys(h.DefinitionDigests())) {
		digest := h.DefinitionDigests()[service]
		if p, ok := s.latestState.Definition(service); ok && p.Digest() == digest {
			definitions[service] = p
		} else if p, ok := s.definitions[digest]; ok {
			definitions[service] = p
		} else {
			missing = append(missing, digest)
		}
	}
	if len(missing) > 0 {
		r.fetchDefinitions(missing)
		return
	}
	shares := h.Shares()
	if shares == nil {
		shares = map[string]share.Share{}
	}
	state, err := differ.New(h.Version(), h.Preset(), definitions, shares)
	if err != nil {
		r.refuse(h.Version(), err.Error())
		return
	}
	s.definitions = map[string]differ.Definition{}
	r.accept(state)
}

func (r *relayer) fetchDefinitions(digests []string) {
	if !r.actsAsGateway() {
		return
	}
	if len(digests) > maxSingleReads {
		r.listDefinitions()
		return
	}
	for _, digest := range digests {
		if r.distribution.pendingFetches[digest] {
			continue
		}
		r.distribution.pendingFetches[digest] = r.request(effect.Get, object.New(definitionsPlural, digest, "", nil), false,
			func(e event.Event) {
				delete(r.distribution.pendingFetches, digest)
				r.handleDefinition(digest, e)
			})
	}
}

func (r *relayer) listDefinitions() {
	const all = "*"
	if r.distribution.pendingFetches[all] {
		return
	}
	r.distribution.pendingFetches[all] = r.request(effect.List, object.New(definitionsPlural, "", "", nil), false,
		func(e event.Event) {
			delete(r.distribution.pendingFetches, all)
			if e.Err() != nil {
				return
			}
			found := map[string]bool{}
			for _, o := range e.Objects() {
				found[o.Name()] = true
				r.addDefinition(o.Name(), o)
			}
			for _, digest := range r.distribution.head.DefinitionDigests() {
				if _, ok := r.distribution.definitions[digest]; !ok && found[digest] {
					r.refuse(r.distribution.head.Version(), "part "+digest+" cannot be decoded or does not match its digest")
					return
				}
			}
			r.assemble()
		})
}

func (r *relayer) handleDefinition(digest string, e event.Event) {
	if e.Err() != nil {
		if fault.KindOf(e.Err()) == fault.NotFound && r.headNeeds(digest) {
			r.refuse(r.distribution.head.Version(), fmt.Sprintf("part %s is missing in the store", digest))
		}
		return
	}
	if err := r.addDefinition(digest, e.Object()); err != nil && r.headNeeds(digest) {
		r.refuse(r.distribution.head.Version(), err.Error())
		return
	}
	r.assemble()
}

// headNeeds reports whether the newest head still refers to the digest.
func (r *relayer) headNeeds(digest string) bool {
	for _, d := range r.distribution.head.DefinitionDigests() {
		if d == digest {
			return true
		}
	}
	return false
}

func (r *relayer) addDefinition(digest string, o object.Object) error {
	p, err := differ.DecodeDefinition(o.Spec())
	if err != nil {
		return err
	}
	if p.Digest() != digest {
		return fault.New(fault.Invalid, fmt.Sprintf("part %s has the digest %s", digest, p.Digest()),
			"apply the preset again")
	}
	r.distribution.definitions[digest] = p
	return nil
}
