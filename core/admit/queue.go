package admit

import (
	"slices"

	"heatherrouter/core/mono"
)

// entry is one queued or started piece of work.
type entry struct {
	Work
	ticket  Ticket
	started mono.Time
}

// queue is bounded and ordered by priority, then by arrival. It is short enough for a sorted slice.
type queue struct {
	l     []entry
	limit int
}

// push inserts the entry in order. If the queue is full, it evicts the newest entry of a lower priority that is
// not marked NeverDropped; without one, ok is false.
func (q *queue) push(e entry) (evicted entry, isEvicted, ok bool) {
	if len(q.l) >= q.limit {
		i := q.victim(e)
		if i < 0 {
			return entry{}, false, false
		}
		evicted, isEvicted = q.l[i], true
		q.l = slices.Delete(q.l, i, i+1)
	}
	q.l = slices.Insert(q.l, q.ahead(&e), e)
	return evicted, isEvicted, true
}

func (q *queue) victim(e entry) int {
	for i := len(q.l) - 1; i >= 0 && q.l[i].Priority < e.Priority; i-- {
		if !q.l[i].NeverDropped {
			return i
		}
	}
	return -1
}

// ahead counts the entries that would start before a new one, which is also its index in the queue.
func (q *queue) ahead(e *entry) int {
	i := len(q.l)
	for i > 0 && q.l[i-1].Priority < e.Priority {
		i--
	}
	return i
}

func (q *queue) pop() entry {
	e := q.l[0]
	q.l = slices.Delete(q.l, 0, 1)
	return e
}

// remove removes the entries for which f returns true, and returns them in order.
func (q *queue) remove(f func(e *entry) bool) []entry {
	var out []entry
	keep := q.l[:0]
	for i := range q.l {
		if f(&q.l[i]) {
			out = append(out, q.l[i])
		} else {
			keep = append(keep, q.l[i])
		}
	}
	clear(q.l[len(keep):])
	q.l = keep
	return out
}

func (q *queue) nextDeadline() mono.Time {
	t := mono.Never
	for i := range q.l {
		t = min(t, q.l[i].Deadline)
	}
	return t
}
