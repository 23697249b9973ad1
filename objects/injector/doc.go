// Package injector makes the stand-in store fail on request of a test.
package injector
