package peer

// Queue holds the messages to be sent on one session. It is safe for concurrent use.
type Queue struct {
	out chan Outgoing
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{out: make(chan Outgoing, queueLen)}
}

// Put adds a message without blocking. It returns false if the queue is full; the
// session must then be closed, since the message is lost.
func (que *Queue) Put(out Outgoing) bool {
	select {
	case que.out <- out:
		return true
	default:
		return false
	}
}

// Take removes and returns the oldest message without blocking. It returns false if
// the queue is empty.
func (que *Queue) Take() (Outgoing, bool) {
	select {
	case out := <-que.out:
		return out, true
	default:
		return Outgoing{}, false
	}
}

// Len returns the number of queued messages.
func (que *Queue) Len() int {
	return len(que.out)
}
