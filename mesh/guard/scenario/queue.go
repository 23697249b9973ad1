package scenario

import (
	"container/heap"
	"time"
)

// task is a function to run at a virtual time.
type task struct {
	at       time.Time
	sequence uint64
	run      func()
}

// tasks is a heap ordered by time, then by order of scheduling.
type tasks []task

func (q tasks) Len() int { return len(q) }

func (q tasks) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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
	now      time.Time
	sequence uint64
	tasks    tasks
}

// after schedules run for the time d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.tasks, task{at: c.now.Add(d), sequence: c.sequence, run: run})
}

// advance advances the time by d and runs the tasks that are due.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.tasks) > 0 && !c.tasks[0].at.After(end) {
		t := heap.Pop(&c.tasks).(task)
		c.now = t.at
		t.run()
	}
	c.now = end
}
