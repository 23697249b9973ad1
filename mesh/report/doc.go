// Package report holds which configuration version is in force in one data centre.
package report
