// Package scheduler plans the steps of a rollout backwards from its deadline.
package scheduler
