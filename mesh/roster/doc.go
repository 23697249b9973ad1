// Package roster holds what one node knows of the relays, so that other machines need not know how leases work.
package roster
