// Package report holds the configuration versions in force in one data centre.
package report
