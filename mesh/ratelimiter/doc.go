// Package ratelimiter is the part that keeps the requests of each tenant, over all nodes, within the tenant's limit.
//
// Package spender decides what this node may run and what it needs, package granter what it grants as the owner of a
// shard of the tenants; this package connects both to the clock, the other nodes and the requests.
package ratelimiter
