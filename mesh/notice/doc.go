// Package notice holds the bodies of the membership messages between nodes.
package notice
