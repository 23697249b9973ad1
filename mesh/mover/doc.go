// Package mover is the part that moves services to new versions: each node counts how calls end, the first nodes in the
// order of election judge the sum, and a version that they find bad is taken out of use on each node at once, before the
// store is told.
package mover
