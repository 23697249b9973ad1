package admitter

import (
	"maps"
	"sync/atomic"
)

// copyOnWriteMap is a map that is read without a lock and copied for each new key; its keys come from the
// configuration.
type copyOnWriteMap[K comparable, V any] struct {
	current atomic.Pointer[map[K]*V]
}

// get returns the key's value, which is created at the first use. Concurrent callers get the same value, even if create
// ran for several of them.
func (r *copyOnWriteMap[K, V]) get(key K, create func() *V) *V {
	var added *V
	for {
		old := r.current.Load()
		var next map[K]*V
		if old != nil {
			if v := (*old)[key]; v != nil {
				return v
			}
			next = maps.Clone(*old)
		} else {
			next = map[K]*V{}
		}
		if added == nil {
			added = create()
		}
		next[key] = added
		if r.current.CompareAndSwap(old, &next) {
			return added
		}
	}
}

// all returns the current map, which must not be changed.
func (r *copyOnWriteMap[K, V]) all() map[K]*V {
	if m := r.current.Load(); m != nil {
		return *m
	}
	return nil
}
