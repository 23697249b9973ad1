// Package controller joins all registered machines of one node behind one Step.
package controller
