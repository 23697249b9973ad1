// Package deregistrar is the part that withdraws a stopping node from the division of the tenants' limits.
package deregistrar
