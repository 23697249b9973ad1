// Package scenario models a mesh whose upstreams crash, in virtual time, with the real decisions of packages guard and
// spreader. The tests and the bench use it.
package scenario
