// Package crashcount defines how often a request has crashed upstreams in a row.
package crashcount
