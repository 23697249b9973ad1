// Package status implements the command that shows which version is in force in each data centre.
package status
