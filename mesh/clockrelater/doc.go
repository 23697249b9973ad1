// Package clockrelater relates this node's boot-time clock to those of other nodes by lower bounds.
//
// A stamp b0 of another node's clock that arrives at this node's time a1 was taken at a1 or earlier, so the other clock shows
// at least a + (b0 - a1) at this node's time a. A stamp that was delayed, or read late by a suspended host, only lowers the
// bound. Stamps are forgotten after a while, as two clocks do not run at exactly the same rate.
package clockrelater
