// Package group holds the endpoints of one service in one data centre, replaced as a whole.
package group
