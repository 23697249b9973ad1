// Package limiter admits calls to one local upstream, with a limit that follows its latency and a short fair queue.
package limiter
