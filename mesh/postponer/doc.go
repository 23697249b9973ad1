// Package postponer decides when the callers of refused requests should return.
package postponer
