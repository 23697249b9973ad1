// Package route holds one route of a service: what it matches and how its calls are treated.
package route
