// Package oracle runs the control planes of a fleet in virtual time under a plan of failures and operators' actions, and
// judges what calls see by the promises of the design page alone.
//
// Each node feeds a publisher with what its machines publish, and calls are drawn from that publisher's snapshot.
package oracle
