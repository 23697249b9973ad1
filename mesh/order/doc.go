// Package order defines an operator's order to move a service's calls to another version within a period.
package order
