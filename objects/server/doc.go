// Package server serves the object store over HTTP, following the published conventions of the Kubernetes API.
package server
