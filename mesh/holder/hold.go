package holder

import (
	"runtime"
	"sync"
)

// Hold is the memory that one body takes. A nil Hold takes none.
type Hold struct {
	share *share
}

// share is the state of a Hold. It is separate so that the memory can be released when the Hold itself is unreachable.
type share struct {
	holder *Holder
	mutex  sync.Mutex // guards bytes
	bytes  int64      // 0 after the release
}

// newHold returns a hold for bytes that the holder has counted. A body that is dropped without a release, such as the
// answer to a call that was abandoned, is released when the runtime collects it.
func newHold(h *Holder, bytes int64) *Hold {
	hold := &Hold{&share{holder: h, bytes: bytes}}
	runtime.AddCleanup(hold, func(s *share) { s.shrink(0) }, hold.share)
	return hold
}

// Release gives the memory back; further calls have no effect.
func (h *Hold) Release() { h.Shrink(0) }

// Extend adds bytes whether or not they are free, for bodies that are bounded elsewhere.
func (h *Hold) Extend(bytes int64) {
	if h == nil {
		return
	}
	h.share.holder.add(bytes)
	h.share.mutex.Lock()
	h.share.bytes += bytes
	h.share.mutex.Unlock()
}

// Shrink reduces the memory to the bytes that the body needs.
func (h *Hold) Shrink(bytes int64) {
	if h != nil {
		h.share.shrink(bytes)
	}
}

func (s *share) shrink(bytes int64) {
	s.mutex.Lock()
	freed := s.bytes - bytes
	if freed > 0 {
		s.bytes = bytes
	}
	s.mutex.Unlock()
	if freed > 0 {
		s.holder.free(freed)
	}
}
