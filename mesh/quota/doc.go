// Package quota defines what nodes exchange to share the rate limits of tenants, and the periods that both sides use.
package quota
