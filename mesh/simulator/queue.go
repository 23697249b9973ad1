package simulator

import "time"

type task struct {
	at  time.Time
	seq uint64
	run func()
}

// queue is a heap of tasks ordered by time, then by insertion.
type queue []task

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(task)) }

func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
