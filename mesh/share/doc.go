// Package share holds how the calls of a service are split between two versions during a rollout.
package share
