// Package effect holds the effects that a control machine requests.
package effect
