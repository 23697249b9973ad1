// Package roller drives rollouts: nodes count calls, relays sum the counts, and for each service the holder of a lease
// changes the share and takes the rollout back if necessary.
//
// The share in force is stored in the head. The holder of the lease roller-<service> first writes its epoch into the
// service's share, which makes every conditional write of an earlier holder fail, and changes the share only after
// that. A verdict that a version is bad needs neither the holder nor the store: relays forward it to all nodes, and
// each node's data path stops calls to the version.
package roller
