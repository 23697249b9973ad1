// Command wisteriaspoke-node runs beside each upstream; its imports select its parts and control state machines.
package main
