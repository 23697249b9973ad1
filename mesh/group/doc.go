// Package group holds the set of endpoints of one service in one data centre, which is always replaced as a whole.
package group
