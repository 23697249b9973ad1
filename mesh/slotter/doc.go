// Package slotter hands out the slots of one upstream: the most urgent call first, and a refusal at once for a call that
// would wait longer than it can.
package slotter
