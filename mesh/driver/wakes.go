package driver

import (
	"slices"
	"time"
)

// wakes holds the times at which machines want a tick, in ascending order without repeats.
type wakes struct {
	times []time.Time
}

func (w *wakes) add(t time.Time) {
	i, found := slices.BinarySearchFunc(w.times, t, time.Time.Compare)
	if !found {
		w.times = slices.Insert(w.times, i, t)
	}
}

// passed forgets the times up to now.
func (w *wakes) passed(now time.Time) {
	i := 0
	for i < len(w.times) && !w.times[i].After(now) {
		i++
	}
	w.times = slices.Delete(w.times, 0, i)
}

// next returns the earliest time, at most latest.
func (w *wakes) next(latest time.Time) time.Time {
	if len(w.times) > 0 && w.times[0].Before(latest) {
		return w.times[0]
	}
	return latest
}
