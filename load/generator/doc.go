// Package generator starts calls at their intended times and waits for none before the next.
package generator
