// Package endpoints implements the command that lists endpoints.
package endpoints
