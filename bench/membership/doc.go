// Package membership measures how fast and at what cost endpoint sets reach the nodes.
package membership
