// Package granter is the owner's side of the quotas: it fills a bucket for each tenant from the shares that other nodes
// lend, and grants tokens to the nodes that need them.
//
// A share is used until the owner's own timestamp, as echoed by the lender, is Share - Token old, so that tokens granted
// at that moment have expired when the lender uses its share again. Unused tokens of a bucket, including those that were
// granted and may still be used, never exceed the stock. So no window gets more than rate * window + stock.
package granter
