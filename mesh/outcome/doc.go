// Package outcome defines counts of finished calls, which are the evidence for rollouts.
package outcome
