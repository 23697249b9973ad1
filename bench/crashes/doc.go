// Package crashes measures how many upstreams one bad request crashes, with and without the crash guard, in virtual
// time.
package crashes
