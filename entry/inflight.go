package entry

import (
	"context"
	"sync"
)

// inFlight counts requests in flight.
type inFlight struct {
	mutex sync.Mutex
	count int
	// idle is closed when the count falls to 0, and replaced when it rises again.
	idle chan struct{}
}

func newInFlight() *inFlight {
	inf := &inFlight{idle: make(chan struct{})}
	close(inf.idle)
	return inf
}

func (inf *inFlight) add() {
	inf.mutex.Lock()
	defer inf.mutex.Unlock()
	if inf.count == 0 {
		inf.idle = make(chan struct{})
	}
	inf.count++
}

func (inf *inFlight) remove() {
	inf.mutex.Lock()
	defer inf.mutex.Unlock()
	inf.count--
	if inf.count == 0 {
		close(inf.idle)
	}
}

// wait waits until none is in flight.
func (inf *inFlight) wait(ctx context.Context) error {
	inf.mutex.Lock()
	idle := inf.idle
	inf.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
