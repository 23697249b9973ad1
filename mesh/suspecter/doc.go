// Package suspecter decides from silence which endpoints of a set are suspect and which are dropped.
package suspecter
