// Package client sends requests to the operators' API and tries its servers in turn.
package client
