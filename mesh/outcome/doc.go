// Package outcome holds counts of finished calls, the evidence for rollouts.
package outcome
