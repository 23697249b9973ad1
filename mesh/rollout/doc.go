// Package rollout defines the stepwise change of one service to a new version, as it is kept in the store.
package rollout
