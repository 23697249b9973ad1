// Package mover is the part that moves services to new versions: it gathers evidence, lets one node decide the steps, and
// takes a bad version out of use on each node as soon as the evidence is there, without waiting for anybody.
package mover
