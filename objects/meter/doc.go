// Package meter counts the calls to the object store by kind.
package meter
