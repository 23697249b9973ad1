// Package pacer admits requests at no more than a given rate.
package pacer
