// Package throttler limits the large answers that leave a host to what its network link carries.
//
// Without it, large answers fill the link, and small ones wait behind them until they are late. A call whose large answer
// could not leave in time is refused before it runs, and answers leave one after the other, at a part of the link's rate
// that leaves room for everything else.
package throttler
