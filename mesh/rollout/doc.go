// Package rollout holds the stepwise change of one service to a new version, as it stands in the store.
package rollout
