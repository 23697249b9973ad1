// Package estimator keeps the usual time that calls of each rule spend in an upstream.
package estimator
