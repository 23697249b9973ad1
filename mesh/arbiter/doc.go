// Package arbiter decides from the replies of a key's owners whether its call may run.
package arbiter
