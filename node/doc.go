// Command wisteriaspoke-node is the process beside each upstream; its imports choose its parts and control machines.
package main
