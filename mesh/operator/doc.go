// Package operator serves the operators' HTTP API.
package operator
