// Package roller drives rollouts: nodes count, relays sum, one leaseholder for each service widens and takes back.
//
// The share in force stands in the head. The holder of the lease roller-<service> first writes its epoch into the
// service's share, which makes every conditional write of an earlier holder fail, and changes the share only after
// that. A verdict "bad" needs neither the holder nor the store: relays spread it and each node's data path obeys it.
package roller
