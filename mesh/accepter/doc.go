// Package accepter writes presets, the preset in force and requests for rollouts to the store by conditional writes.
package accepter
