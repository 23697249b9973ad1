// Package mover is the part that moves services to new versions. Each node counts the outcomes of its calls, the
// top-ranked nodes evaluate the counts of all nodes, and a version that they find bad is taken out of use on every node
// at once, before the state is written to the store.
package mover
