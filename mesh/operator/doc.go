// Package operator is the part that serves the operators' HTTP API.
package operator
