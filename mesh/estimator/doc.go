// Package estimator estimates the service time of calls, per rule.
package estimator
