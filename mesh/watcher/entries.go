package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/record"
)

// maintainNodes writes this node's entry and then lists all entries periodically. It writes first, so that of two nodes
// that start at the same time at least the one that writes last finds the other. A cheap list that has the entry is at
// least as new as that write, or as an earlier one of this node, which the other node has found. A restore of the store may
// lose the entry; it is then written again.
func (w *Watcher) maintainNodes(ctx context.Context) error {
	b := backoff{}
	if err := w.putEntry(ctx, &b); err != nil {
		return err
	}
	var era uint64 // of the last list
	for cheap, included := true, false; ; {
		lost := false
		err := w.callStore(ctx, "list entries", func(ctx context.Context) error {
			rs, at, err := w.store.List(ctx, record.Hosts, cheap)
			known := addresses(rs)
			w.cluster.AddAddresses(known)
			if err == nil && !slices.Contains(known, w.node) {
				lost = !cheap || included && record.Era(at) > era
			}
			included = included || err == nil && (!cheap || slices.Contains(known, w.node))
			era = max(era, record.Era(at))
			return err
		})
		delay := relistInterval
		cheap = included
		switch {
		case err != nil:
			delay = b.next()
		case lost && !w.deregistered.Load():
			if err := w.putEntryAgain(ctx, &b); err != nil {
				return err
			}
		case !included:
			continue
		case len(w.cluster.Nodes()) == 0:
			delay = unlinkedRelistInterval
		default:
			b = backoff{}
		}
		if err := pauser.Pause(ctx, delay); err != nil {
			return err
		}
	}
}

// Deregister removes this node's entry from the store and does not write it again.
func (w *Watcher) Deregister(ctx context.Context) error {
	w.deregistered.Store(true)
	return w.callStore(ctx, "delete entry", func(ctx context.Context) error {
		return w.store.Delete(ctx, record.Hosts, w.node)
	})
}

// putEntry writes this node's entry, repeatedly until the store has it.
func (w *Watcher) putEntry(ctx context.Context, b *backoff) error {
	for {
		err := w.callStore(ctx, "put entry", func(ctx context.Context) error {
			return w.store.Put(ctx, record.Hosts, w.node, nil)
		})
		if err == nil {
			return nil
		}
		if err := pauser.Pause(ctx, b.next()); err != nil {
			return err
		}
	}
}

// putEntryAgain writes this node's entry after the store has lost it. All nodes may find that at the same time.
func (w *Watcher) putEntryAgain(ctx context.Context, b *backoff) error {
	w.log.Warn("the store has lost this node's entry; writing it again")
	spread := entryWriteInterval * time.Duration(len(w.cluster.Nodes())+1)
	if err := pauser.Pause(ctx, rand.N(spread)); err != nil {
		return err
	}
	return w.putEntry(ctx, b)
}

func addresses(rs []record.Record) []string {
	var ns []string
	for _, r := range rs {
		if !r.Deleted {
			ns = append(ns, r.Name)
		}
	}
	return ns
}
