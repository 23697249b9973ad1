package crashcount

// Refused is the reason of the refusals of requests that have crashed too many upstreams.
const Refused = "poison"

const (
	// retriesEndAt is the number of crashes after which a request is not sent again by itself.
	retriesEndAt = 2
	// quarantineAt is the number of crashes after which a request is refused.
	quarantineAt = 3
	// crashBits is the width of the number of crashes; the bits above it count the completions that cleared it.
	crashBits  = 8
	maxCrashes = 1<<crashBits - 1
)

// Count is the number of crashes since the last completed run. Of two counts of a request the higher one is newer, so
// nodes that take the maximum agree in whatever order they receive them.
type Count uint64

// Crashes returns the number of upstreams that crashed while they ran the request. Runs that were sent before an earlier
// crash was known do not add up, so that requests in flight at several upstreams which crash together count one.
func (c Count) Crashes() int { return int(c & maxCrashes) }

// AfterCrash returns the count after a crash of the upstream that ran the request.
func (c Count) AfterCrash() Count {
	if c.Crashes() == maxCrashes {
		return c
	}
	return c + 1
}

// AfterCompletion returns the count after a complete response to the request, which has no crashes.
func (c Count) AfterCompletion() Count { return c - Count(c.Crashes()) + 1<<crashBits }

// AllowsRetry reports whether the request may be sent again after a run that may have crashed its upstream.
func (c Count) AllowsRetry() bool { return c.Crashes() < retriesEndAt }

// Quarantined reports whether the request is refused, except for a trial from time to time.
func (c Count) Quarantined() bool { return c.Crashes() >= quarantineAt }
