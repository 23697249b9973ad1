// Package server serves the stand-in store over HTTP after the published conventions of the Kubernetes API.
package server
