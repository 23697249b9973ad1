package guard

import "cmp"

// expiryHeap is a heap of records for container/heap; the record that expires first is on top.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	return cmp.Or(h[i].expires.Compare(h[j].expires), cmp.Compare(h[i].firstChange, h[j].firstChange)) < 0
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
