package queue

import "github.com/pomeloworks/pomelo"

var _ pomelo.WaitingRefuser = (*Queue)(nil)

// RefuseWaiting refuses all waiting calls at once, each with a fault of its own, and returns their number. They count as no sign of overload in the shed threshold.
func (q *Queue) RefuseWaiting(newFault func() *pomelo.Fault) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	refused := q.waiting
	q.waiting = nil
	for _, w := range refused {
		w.decide(newFault())
	}
	return len(refused)
}
