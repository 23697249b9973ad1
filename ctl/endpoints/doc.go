// Package endpoints is the command that lists endpoints.
package endpoints
