// Package endpoint holds one upstream as its node announced it.
package endpoint
