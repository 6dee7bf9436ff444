package caller

import (
	"context"
	"net/http"
	"sync"

	"lynxwell.dev/lynxwell/gateway"
)

// MaxStoredBytes is the maximum size of a stored answer. A longer answer is streamed at
// the pace of its slowest client, and can't be sent again to a retry.
const MaxStoredBytes = 4 << 20

// Exchange buffers the answer to one request, while it arrives and afterwards, for
// any number of clients that each read it from its start. It is safe for concurrent
// use.
type Exchange struct {
	mutex sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	status  int
	header  http.Header
	// stored holds the answer from offset base on.
	stored []byte
	base   int
	// readers maps each open reader to its offset in the answer.
	readers  map[*Reader]int
	ended    bool
	complete bool
	final    *gateway.Final
}

// Progress is the state of an exchange, with the data that the reader has not read yet.
type Progress struct {
	// Status is 0 until the answer's head has arrived.
	Status int
	Header http.Header
	// Data is the part of the answer that the reader has not read yet.
	Data []byte
	// Over is set when the answer has ended, Whole when it is also complete.
	Over  bool
	Whole bool
	// Final is set if the request ended without a complete answer.
	Final *gateway.Final
	// Trimmed is set when data that the reader has not read is no longer stored.
	Trimmed bool
}

// Reader reads an exchange from its start.
type Reader struct {
	exchange *Exchange
	offset   int
}

// NewExchange returns an empty exchange.
func NewExchange() *Exchange {
	return &Exchange{changed: make(chan struct{}), readers: make(map[*Reader]int)}
}

// Head implements backend.Sink: it sets the answer's status and header.
func (exc *Exchange) Head(status int, header http.Header) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.status != 0 {
		return
	}
	exc.status = status
	exc.header = header
	exc.notifyReaders()
}

// Data implements backend.Sink: it appends to the answer. Beyond MaxStoredBytes it blocks
// until the slowest reader has read some of the stored data.
func (exc *Exchange) Data(data []byte) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.stored = append(exc.stored, data...)
	exc.notifyReaders()
	for len(exc.stored) > MaxStoredBytes && !exc.trim() {
		changed := exc.changed
		exc.mutex.Unlock()
		<-changed
		exc.mutex.Lock()
	}
}

// trim discards the data that every reader has read, and reports whether there was any.
func (exc *Exchange) trim() bool {
	seen := exc.base + len(exc.stored)
	for _, offset := range exc.readers {
		seen = min(seen, offset)
	}
	if seen == exc.base {
		return false
	}
	exc.stored = append([]byte(nil), exc.stored[seen-exc.base:]...)
	exc.base = seen
	return true
}

// End ends the answer; complete reports whether the answer is complete.
func (exc *Exchange) End(complete bool) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.ended = true
	exc.complete = complete
	exc.notifyReaders()
}

// Fail ends the exchange with a final answer in place of a complete one.
func (exc *Exchange) Fail(fin gateway.Final) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.ended = true
	exc.complete = false
	exc.final = &fin
	exc.notifyReaders()
}

// Size returns the number of bytes stored.
func (exc *Exchange) Size() int {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	return len(exc.stored)
}

// Drop discards the stored data of an answer that has ended and has no readers, to save
// memory.
func (exc *Exchange) Drop() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.ended && len(exc.readers) == 0 {
		exc.base += len(exc.stored)
		exc.stored = nil
	}
}

func (exc *Exchange) notifyReaders() {
	close(exc.changed)
	exc.changed = make(chan struct{})
}

// Open returns a reader at the start of the answer. The reader must be closed.
func (exc *Exchange) Open() *Reader {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	rea := &Reader{exchange: exc}
	exc.readers[rea] = 0
	return rea
}

// Close detaches the reader from the exchange.
func (rea *Reader) Close() {
	exc := rea.exchange
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	delete(exc.readers, rea)
	exc.notifyReaders()
}

// Next blocks until there is new data, the answer has ended or the context ends.
func (rea *Reader) Next(ctx context.Context) (Progress, error) {
	for {
		prg, ready, changed := rea.poll()
		if ready {
			return prg, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		}
	}
}

// poll returns the progress, whether it has anything new for the reader, and a channel that is
// closed at the next change.
func (rea *Reader) poll() (Progress, bool, <-chan struct{}) {
	exc := rea.exchange
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	prg := Progress{Status: exc.status, Header: exc.header, Over: exc.ended, Whole: exc.complete, Final: exc.final}
	if exc.final != nil && rea.offset == 0 {
		// A client that has received no part of a failed answer gets only the error.
		prg.Status = 0
		return prg, true, nil
	}
	if rea.offset < exc.base {
		prg.Trimmed = true
		return prg, true, nil
	}
	if unread := exc.stored[rea.offset-exc.base:]; len(unread) > 0 {
		prg.Data = append([]byte(nil), unread...)
		rea.offset += len(unread)
		exc.readers[rea] = rea.offset
		if len(exc.stored) > MaxStoredBytes {
			exc.notifyReaders()
		}
	}
	return prg, len(prg.Data) > 0 || exc.ended, exc.changed
}
