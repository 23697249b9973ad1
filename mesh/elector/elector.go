package elector

// Candidate is a node as the deciding node sees it.
type Candidate struct {
	Address string
	Region  string
	Store   bool // it reaches the store, as it says
	Alive   bool // it has been heard of lately
}

// Place returns how many nodes of own's region go before it as watchers of the store: those that reach it and, among
// them, those with lower addresses.
func Place(own Candidate, peers []Candidate) int {
	n := 0
	for _, p := range peers {
		if p.Alive && p.Region == own.Region && first(p, own) {
			n++
		}
	}
	return n
}

// Coordinates reports whether own should decide for the whole mesh.
func Coordinates(own Candidate, peers []Candidate) bool {
	for _, p := range peers {
		if p.Alive && first(p, own) {
			return false
		}
	}
	return own.Store
}

// first reports whether a goes before b.
func first(a, b Candidate) bool {
	if a.Store != b.Store {
		return a.Store
	}
	return a.Address < b.Address
}
