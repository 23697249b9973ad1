// Package roster holds one node's view of the relays, so that other machines do not depend on leases.
package roster
