package reserver

import (
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/arbiter"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/ledger"
	"wisteriaspoke.example/mesh/message"
)

// Kinds of messages between the entry node of a call and the owners of its key.
const (
	kindReserve = "key.reserve"
	kindReply   = "key.reply"
	kindFinish  = "key.finish"
)

func init() {
	encoder.Register(kindReserve, func() any { return new(reserveBody) })
	encoder.Register(kindReply, func() any { return new(replyBody) })
	encoder.Register(kindFinish, func() any { return new(finishBody) })
}

type reserveBody struct {
	Service     string `cbor:"1,keyasint"`
	Key         string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
	Attempt     uint64 `cbor:"4,keyasint"`
	TimeLeft    int64  `cbor:"5,keyasint"` // milliseconds until the attempt ends
}

type replyBody struct {
	Attempt          uint64         `cbor:"1,keyasint"`
	Owner            bool           `cbor:"2,keyasint"`
	OwnerSince       int64          `cbor:"3,keyasint"` // Unix milliseconds
	RecentOwnerCount int            `cbor:"4,keyasint"`
	State            ledger.State   `cbor:"5,keyasint,omitempty"`
	AnswerHeld       bool           `cbor:"6,keyasint,omitempty"`
	Answer           *answer.Answer `cbor:"7,keyasint,omitempty"`
}

type finishBody struct {
	Key     string        `cbor:"1,keyasint"`
	Attempt uint64        `cbor:"2,keyasint"`
	Answer  answer.Answer `cbor:"3,keyasint"` // Ran "no" releases the key
}

func newReply(attempt uint64, owner bool, ownerSince time.Time, recentOwners int, r ledger.ReserveResult) message.Message {
	b := &replyBody{
		Attempt: attempt, Owner: owner, OwnerSince: ownerSince.UnixMilli(), RecentOwnerCount: recentOwners, State: r.State(),
	}
	if a, held := r.Answer(); held {
		b.AnswerHeld = true
		b.Answer = &a
	}
	return message.New(kindReply, b)
}

func (b *replyBody) reply() arbiter.Reply {
	var a answer.Answer
	if b.Answer != nil {
		a = *b.Answer
	}
	return arbiter.NewReply(arbiter.Fields{
		Owner: b.Owner, OwnerSince: time.UnixMilli(b.OwnerSince), RecentOwnerCount: b.RecentOwnerCount,
		Result: ledger.NewReserveResult(b.State, a, b.AnswerHeld && b.Answer != nil),
	})
}
