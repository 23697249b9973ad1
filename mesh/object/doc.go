// Package object holds an object of the platform's object API.
package object
