// Package call holds one call on its way through the mesh.
package call
