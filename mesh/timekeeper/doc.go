// Package timekeeper bounds how long messages were in transit on a link between two nodes whose clocks are unrelated.
//
// One end stamps its messages with its own clock. From each stamp the other end learns that this clock now shows the
// stamped time or more, and stamps its own messages with the highest such reading. The first end subtracts that from its
// clock: the result is never below the time in transit, and exceeds it by the transit time of the best stamp.
package timekeeper
