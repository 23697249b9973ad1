// Package status is the command that shows which version is in force where.
package status
