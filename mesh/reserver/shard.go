package reserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/ledger"
)

// Limits of a node's records: 8 MB in total, kept for ten minutes after the last change.
const (
	shardCount   = 16
	shardBytes   = 8 << 20 / shardCount
	shardRecords = 32768 / shardCount
	holdTime     = 10 * time.Minute
)

// shards distributes keys over ledgers with a lock each; only calls with a key use it.
type shards [shardCount]struct {
	mutex  sync.Mutex
	ledger ledger.Ledger
}

func newShards() *shards {
	var s shards
	for i := range s {
		s[i].ledger = ledger.Ledger{Retention: holdTime, MaxBytes: shardBytes, MaxRecords: shardRecords}
	}
	return &s
}

func (s *shards) reserve(now time.Time, b *reserveBody) ledger.ReserveResult {
	shard := &s[xxhash.Sum64String(b.Key)%shardCount]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	deadline := now.Add(time.Duration(b.TimeLeft) * time.Millisecond)
	return shard.ledger.Reserve(now, b.Key, b.Fingerprint, b.Attempt, deadline)
}

func (s *shards) finish(now time.Time, b *finishBody) {
	shard := &s[xxhash.Sum64String(b.Key)%shardCount]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if b.Answer.Ran() == answer.No {
		shard.ledger.Release(b.Key, b.Attempt)
		return
	}
	shard.ledger.Finish(now, b.Key, b.Attempt, b.Answer)
}
