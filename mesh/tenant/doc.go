// Package tenant holds one of the organisations that share the mesh, as the configuration describes it.
package tenant
