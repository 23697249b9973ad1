// Package client sends requests to the operators' API of one of several nodes.
package client
