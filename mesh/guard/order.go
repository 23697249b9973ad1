package guard

import "cmp"

// order is a heap of records, the one that ends first on top, for container/heap.
type order []*record

func (o order) Len() int { return len(o) }

func (o order) Less(i, j int) bool {
	return cmp.Or(o[i].end.Compare(o[j].end), cmp.Compare(o[i].added, o[j].added)) < 0
}

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index = i
	o[j].index = j
}

func (o *order) Push(x any) {
	r := x.(*record)
	r.index = len(*o)
	*o = append(*o, r)
}

func (o *order) Pop() any {
	old := *o
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*o = old[:len(old)-1]
	return r
}
