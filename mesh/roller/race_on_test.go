//go:build race

package roller_test

// defaultSeeds is 1 under the race detector, which makes each trial five times as long. A trial is single-threaded, so
// more seeds would find no more races.
const defaultSeeds = 1
