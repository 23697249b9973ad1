// Package rollouts measures whether rollouts of good versions finish in time and bad versions are rolled back before
// they harm calls.
package rollouts
