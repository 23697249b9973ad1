package main

import "errors"

// errTooFewServed means that the run was disturbed by something else than the case's disruption.
var errTooFewServed = errors.New("fewer than half of the requests were served")

// errNotAcknowledged means that a node did not acknowledge what an endpoint reported.
var errNotAcknowledged = errors.New("the endpoint's report was not acknowledged")
