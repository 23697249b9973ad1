// Package route holds one route of a service: its match conditions and the settings of its calls.
package route
