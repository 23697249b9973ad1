// Package order holds the operators' order to move a service's calls to a version by a deadline.
package order
