// Package rule holds one route of a plan: which requests it matches, where they go and what may be done with them.
package rule
