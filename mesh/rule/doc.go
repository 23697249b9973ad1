// Package rule holds one route of a plan: the requests that it matches, their services and how they are handled.
package rule
