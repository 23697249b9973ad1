// Package spender is a node's side of the quotas: it holds the tokens that the owners have granted, counts the demand,
// keeps the requests that wait for a token, and lends this node's share of each limit to the owners.
package spender
