// Package composer builds the view that calls read from the configuration, the endpoints and the splits between versions.
package composer
