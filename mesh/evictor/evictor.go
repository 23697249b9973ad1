package evictor

import "time"

const (
	// grace is the age from which the unread answer of a connection counts. Younger ones say nothing about their reader.
	grace = 300 * time.Millisecond
	// fastBytesPerSecond is the rate from which a reader is not slow. Callers are on the host of their node, so that
	// only a caller that does not read stays below it.
	fastBytesPerSecond = 512 << 10
)

// Connection is the state of one caller's connection.
type Connection struct {
	since time.Time // when its answer began, or when it became idle
	read  int64     // bytes of the answer that it has read
	state state
}

type state int

const (
	busy    state = iota // requests run and no answer is ready
	reading              // an answer is ready, or being written
	idle                 // no request
)

// Busy returns the state of a connection whose requests run.
func Busy() Connection { return Connection{state: busy} }

// Reading returns the state of a connection whose answer began at since, and that has read that many bytes of it.
func Reading(since time.Time, read int64) Connection {
	return Connection{since: since, read: read, state: reading}
}

// Idle returns the state of a connection that has had no request since the time.
func Idle(since time.Time) Connection { return Connection{since: since, state: idle} }

// String returns the state in a word.
func (c Connection) String() string { return [...]string{"busy", "reading", "idle"}[c.state] }

// Since returns when the answer began, or when the connection became idle.
func (c Connection) Since() time.Time { return c.since }

// Read returns the bytes of the answer that were read.
func (c Connection) Read() int64 { return c.read }

// SlowestReader returns the index of the connection that reads its answer most slowly, or -1 if none is slow.
func SlowestReader(now time.Time, cs []Connection) int {
	slowest, lowest := -1, float64(fastBytesPerSecond)
	for i, c := range cs {
		age := now.Sub(c.since)
		if c.state != reading || age < grace {
			continue
		}
		if rate := float64(c.read) / age.Seconds(); rate < lowest || rate == lowest && slowest >= 0 && c.since.Before(cs[slowest].since) {
			slowest, lowest = i, rate
		}
	}
	return slowest
}

// Dispensable returns the index of the connection to close when there are too many: the slowest reader, else the one that
// has been idle for the longest time, or -1 if neither exists.
func Dispensable(now time.Time, cs []Connection) int {
	if i := SlowestReader(now, cs); i >= 0 {
		return i
	}
	longest := -1
	for i, c := range cs {
		if c.state == idle && (longest < 0 || c.since.Before(cs[longest].since)) {
			longest = i
		}
	}
	return longest
}
