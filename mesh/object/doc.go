// Package object holds one version of an object of the platform's object API.
package object
