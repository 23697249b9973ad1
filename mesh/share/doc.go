// Package share describes how a service's calls are split between two versions during a rollout.
package share
