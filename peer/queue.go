package peer

// Queue holds the messages that wait to be sent on one session.
type Queue struct {
	out chan Outgoing
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{out: make(chan Outgoing, queueLen)}
}

// Put adds a message without waiting. It returns false when the queue is full;
// then the session must be ended, since a message is missing.
func (que *Queue) Put(out Outgoing) bool {
	select {
	case que.out <- out:
		return true
	default:
		return false
	}
}

// Take removes the oldest message without waiting; false where there is none.
func (que *Queue) Take() (Outgoing, bool) {
	select {
	case out := <-que.out:
		return out, true
	default:
		return Outgoing{}, false
	}
}

// Len returns how many messages wait.
func (que *Queue) Len() int {
	return len(que.out)
}
