// Package withdrawal defines what is kept of an upstream that has left.
package withdrawal
