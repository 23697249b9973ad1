// Package suspecter decides from missing heartbeats and closed connections which endpoints are suspect or dropped.
package suspecter
