// Package membercounter counts the nodes among which limits of the whole mesh are divided.
package membercounter
