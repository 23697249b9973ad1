// Package guard decides which calls may run on an upstream, so that one request that crashes each upstream that runs it
// causes at most two crashes in the mesh.
//
// # Marks
//
// A call has a fingerprint: a digest of its idempotency key, service and tenant or, without a key, of its service,
// method, host name, path and body. When an upstream crashes, each call that was in flight gets a mark. A mark
// identifies the call by its fingerprint, and the crash by the address and incarnation of the upstream's node and a
// counter. Nodes merge marks by this identity, so a crash that is reported several times counts once. A mark can only
// change from counting to cleared, so the order in which marks arrive does not matter. The marks of a call expire
// together, about ten minutes after its last crash.
//
// A call without marks runs. A call with one mark is a suspect: no other marked call runs on the endpoint at the same
// time. A call with two marks is refused until they expire. A complete response to a call with one mark clears it.
//
// # Innocent calls
//
// Calls that were in flight in the same crash become suspects, run one by one, and are cleared by their first complete
// response. An innocent call is refused only if it is in flight in a second crash while it has its mark. Three rules
// prevent this:
//
//   - No two marked calls run on one endpoint at the same time, so the culprit and the innocent calls of its first
//     crash are never in flight together again.
//   - A call that was sent before its mark arrived gets no second mark for a crash in which a suspect was in flight.
//   - The answers to the calls of a crash are delayed until the marks have spread, so that callers do not resend these
//     calls together to a node that has no marks for them.
//
// One case remains: an innocent suspect runs beside a second culprit that has no mark yet. Both get a mark for the
// crash, and the innocent call is refused for ten minutes.
//
// # Two culprits in one crash
//
// Both get a mark for it. They never run on one endpoint at the same time again, so each causes one more crash of its
// own. Each has then been in flight in two crashes and is refused.
//
// # The bound while marks spread
//
// Marks usually spread within a tenth of a second, but can take up to three seconds. Meanwhile, a caller could resend
// the call to nodes that do not have the mark yet, and each of them would lose its upstream. Two rules keep the bound
// of two:
//
//   - The node that saw the crash delays the answer "may have run" until its relay confirms that all nodes that can be
//     reached have the mark, for up to three seconds. A caller that waits for its answer therefore resends to a node
//     that has the mark.
//   - A suspect runs only with the permission of the crash's witness, the node that saw it, which permits one run of a
//     fingerprint at a time. Other nodes hold resent calls until that run has completed (then the mark is cleared) or
//     crashed (then there are two). If the witness does not reply, a node that has had the mark for three seconds
//     permits the run itself.
//
// The bound does not cover copies that were sent before the answer to the first one: each copy that is in flight, or
// arrives at a node before the mark does, can crash its upstream. It does not hold across a network partition between
// regions: each side can see two crashes. It does not hold for a request that completes on some upstreams, such as
// those of an old version, as a complete response clears its mark. A crash is not detected if the upstream listens
// again before the node has dialled it.
//
// # Why two crashes suffice
//
// One crash does not show which of the calls in flight caused it. In the second crash, the call is the only one in
// flight on the endpoint that had a mark. Two unrelated crashes within the seconds until the suspect has run are rare
// enough to accept that an innocent call is then refused, with a reason of its own, for ten minutes. A third run would
// add little evidence and could crash another upstream with all its calls in flight.
//
// # Attackers
//
// A caller that can crash an upstream with many different requests can cause two crashes with each; without the guard
// it could cause any number. With idempotency keys, each new key is a new fingerprint. The calls in flight become
// suspects, and frequent ones are delayed until one of them has run, for about a tenth of a second and at most a second
// or so. To get an innocent call refused, the caller must crash the endpoint during this single run with a request that
// has no mark. Fingerprints are cryptographic digests, so that no request can be constructed to share the mark of
// another, and keys count only within their service and tenant. A caller can displace the marks of other callers only
// with crashes that have thousands of calls in flight, as the table holds 4,096 marks and drops the one that expires
// first. Marks from other nodes are trusted as far as links are: a node with the link credential can have any call
// refused.
package guard
