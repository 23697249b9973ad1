//go:build !race

package roller_test

const defaultSeeds = 4
