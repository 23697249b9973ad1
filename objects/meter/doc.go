// Package meter counts the calls to the stand-in store by kind.
package meter
