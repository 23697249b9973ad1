// Command harness runs the review's cases: it starts the nodes of the deploy file as processes on loopback addresses,
// with stand-ins for the platform's store, the endpoints and the clients, and checks one rule.
package main
