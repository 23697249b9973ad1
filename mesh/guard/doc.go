// Package guard decides which calls may run on an upstream, so that one request that crashes each upstream that runs it
// causes at most two crashes in the mesh.
//
// # Marks
//
// A call has a fingerprint: a digest of its idempotency key with service and tenant, or else of its service, method, host
// name, path and body. When an upstream dies, each call that was in flight gets a mark. A mark names the fingerprint and the crash,
// by the address and incarnation of the node beside the upstream and a counter. Nodes merge marks by this identity, so a
// crash that is heard several times counts once. A mark can only change from counting to cleared, so the order in which
// marks arrive does not matter. The marks of a call end together, ten minutes after its last crash was heard of.
//
// A call without marks runs. A call with one mark is a suspect: no other marked call runs on the endpoint at the same
// time. A call with two marks is refused until they end. A whole response to a call with one mark clears it.
//
// # Innocent calls
//
// Calls that were in flight in the same crash become suspects, run one by one, and are cleared by their first whole
// response. An innocent call is refused only if it is in flight in a second crash while it has its mark. Three rules
// prevent this. No two marked calls run on one endpoint together, so the culprit and its companions never meet again.
// A call that was sent before its mark arrived gets no second mark for a crash in which a suspect was in flight. And the
// answers of a crash's calls are held back until the marks have spread, so that callers do not resend the culprit and its
// companions together to a node that knows of neither. What remains is an innocent suspect beside a second culprit that
// is not marked yet: both get a mark, and the innocent call is refused for ten minutes.
//
// # Two culprits in one crash
//
// Both get a mark for it. They never run on one endpoint together again, so each causes one more crash of its own. Each
// has then been in flight in two crashes and is refused.
//
// # The bound while marks spread
//
// Marks usually spread within a tenth of a second, but can take up to three seconds. Without further means the caller
// could resend to a node that has not heard of the first crash, and each such node would lose its upstream. Two means
// keep the bound of two:
//
//   - The node that saw the crash holds back "may have run" until its relay confirms that all nodes that can be reached
//     have the mark, for up to three seconds. A caller that waits for its answer therefore resends to a node that knows.
//   - A suspect runs only with the permission of the crash's witness, the node that saw it, which permits one run of a
//     fingerprint at a time. Other nodes hold resends back until that run has finished (then the mark is cleared) or
//     crashed (then there are two). If the witness is gone, a node that has known of the crash for three seconds
//     permits the run itself.
//
// The bound does not cover copies that were sent before the answer to the first one: each copy that is in flight, or
// arrives where the mark has not arrived yet, can crash its upstream. It does not hold across regions without contact
// either: each side can see two crashes. It does not hold for a request that completes on some upstreams, such as those
// of an old version, as a whole response clears its mark; and a crash is not seen if the upstream listens again before
// the node has dialled it.
//
// # Why two crashes suffice
//
// One crash proves nothing about one of the calls in flight. The second one occurs while the call is the only one on
// the endpoint that any evidence speaks against. Upstreams that die twice for unrelated reasons within the seconds until
// the suspect has run are rare enough to accept a refusal with its own reason for ten minutes. A third run could only
// confirm what is known, at the price of another upstream with all calls in flight.
//
// # Attackers
//
// A caller that can crash an upstream with many different requests gets two crashes for each, as it can without the
// guard as often as it likes. With keys, each new key is a new fingerprint. The calls in flight become suspects, and
// frequent ones are slowed down until one of them has run, for about a tenth of a second and at most a second or so. To
// get an innocent call refused, the caller must crash the endpoint during this single run with a request that has no
// mark. Fingerprints are cryptographic digests, so that no request can be built to share the mark of another, and keys
// count only within their service and tenant. A caller can displace the marks of others only with crashes that have
// thousands of calls in flight, as the table holds 4,096 marks and drops the one that ends first. Marks from other nodes
// are trusted as far as links are: a node with the link credential can have any call refused.
package guard
