package driver

import (
	"slices"
	"time"
)

// wakeTimes is the times at which machines need a tick, in ascending order without duplicates.
type wakeTimes struct {
	times []time.Time
}

func (w *wakeTimes) add(t time.Time) {
	i, found := slices.BinarySearchFunc(w.times, t, time.Time.Compare)
	if !found {
		w.times = slices.Insert(w.times, i, t)
	}
}

// removePast removes the times up to now.
func (w *wakeTimes) removePast(now time.Time) {
	i := 0
	for i < len(w.times) && !w.times[i].After(now) {
		i++
	}
	w.times = slices.Delete(w.times, 0, i)
}

// next returns the earliest time, or latest if that is earlier.
func (w *wakeTimes) next(latest time.Time) time.Time {
	if len(w.times) > 0 && w.times[0].Before(latest) {
		return w.times[0]
	}
	return latest
}
