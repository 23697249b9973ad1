// Package composer builds the routing view from the configuration, the endpoints and the splits between versions.
package composer
