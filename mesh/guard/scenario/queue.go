package scenario

import (
	"container/heap"
	"time"
)

type task struct {
	at  time.Time
	seq uint64
	run func()
}

// tasks is a heap by time, then by order of entry.
type tasks []task

func (q tasks) Len() int { return len(q) }

func (q tasks) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *tasks) Push(x any) { *q = append(*q, x.(task)) }

func (q *tasks) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}

// clock runs tasks in virtual time.
type clock struct {
	now   time.Time
	seq   uint64
	tasks tasks
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.tasks, task{at: c.now.Add(d), seq: c.seq, run: run})
}

// run runs the tasks of the given time.
func (c *clock) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.tasks) > 0 && !c.tasks[0].at.After(end) {
		t := heap.Pop(&c.tasks).(task)
		c.now = t.at
		t.run()
	}
	c.now = end
}
