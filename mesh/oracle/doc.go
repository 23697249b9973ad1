// Package oracle runs the control planes of a fleet in virtual time under a plan of failures and operators' actions,
// and checks what calls observe against the guarantees of the design page alone.
//
// Each node passes the values published by its machines to a publisher, whose snapshot routes the simulated calls.
package oracle
