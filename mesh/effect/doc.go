// Package effect holds what a control machine wants to happen.
package effect
