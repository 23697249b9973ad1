// Package record defines the form in which nodes exchange objects of the store.
package record
