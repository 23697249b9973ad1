// Package event holds what can happen to a control machine.
package event
