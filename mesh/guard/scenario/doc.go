// Package scenario simulates a mesh whose upstreams crash, in virtual time. It uses the real packages guard and
// spreader. The tests and the bench use it.
package scenario
