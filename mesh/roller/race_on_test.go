//go:build race

package roller_test

// defaultSeeds is one under the race detector, which makes each trial five times as long; a trial has one thread, so
// further seeds show no further races.
const defaultSeeds = 1
