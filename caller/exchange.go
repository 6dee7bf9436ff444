package caller

import (
	"context"
	"net/http"
	"sync"

	"lynxwell.dev/lynxwell/gateway"
)

// MaxKeptBytes bounds what is kept of one answer. A longer one streams through
// at the pace of its slowest caller, and can't be given to a repeat.
const MaxKeptBytes = 4 << 20

// Exchange holds one request's answer while it comes and afterwards, for any
// number of callers that read it from its start.
type Exchange struct {
	mutex   sync.Mutex
	changed chan struct{}
	status  int
	header  http.Header
	// kept holds the answer from the byte with the number base on.
	kept     []byte
	base     int
	readers  map[*Reader]int
	ended    bool
	complete bool
	final    *gateway.Final
}

// Progress is what a reader sees at one time.
type Progress struct {
	// Status is 0 until the answer's head is there.
	Status int
	Header http.Header
	// Data is what the reader hasn't seen yet.
	Data []byte
	// Over is set when nothing more comes; Whole when that is a whole answer.
	Over  bool
	Whole bool
	// Final is the final answer of a request without a whole one.
	Final *gateway.Final
	// Trimmed is set when the start of the answer is no longer kept.
	Trimmed bool
}

// Reader reads an exchange from its start.
type Reader struct {
	exchange *Exchange
	offset   int
}

// NewExchange returns an exchange without an answer.
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

// Data implements backend.Sink: it adds to the answer. Where the answer has
// grown beyond what is kept, it waits for the slowest reader.
func (exc *Exchange) Data(data []byte) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.kept = append(exc.kept, data...)
	exc.notifyReaders()
	for len(exc.kept) > MaxKeptBytes && !exc.trim() {
		changed := exc.changed
		exc.mutex.Unlock()
		<-changed
		exc.mutex.Lock()
	}
}

// trim drops what every reader has seen; it reports whether there was any.
func (exc *Exchange) trim() bool {
	seen := exc.base + len(exc.kept)
	for _, offset := range exc.readers {
		seen = min(seen, offset)
	}
	if seen == exc.base {
		return false
	}
	exc.kept = append([]byte(nil), exc.kept[seen-exc.base:]...)
	exc.base = seen
	return true
}

// End closes the answer.
func (exc *Exchange) End(whole bool) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.ended = true
	exc.complete = whole
	exc.notifyReaders()
}

// Fail closes the exchange with a final answer.
func (exc *Exchange) Fail(fin gateway.Final) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.ended = true
	exc.complete = false
	exc.final = &fin
	exc.notifyReaders()
}

// Size returns the bytes kept.
func (exc *Exchange) Size() int {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	return len(exc.kept)
}

// Drop gives up what is kept of an answer that is over, to save memory.
func (exc *Exchange) Drop() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if exc.ended && len(exc.readers) == 0 {
		exc.base += len(exc.kept)
		exc.kept = nil
	}
}

func (exc *Exchange) notifyReaders() {
	close(exc.changed)
	exc.changed = make(chan struct{})
}

// Open returns a reader at the start of the answer; Close must follow.
func (exc *Exchange) Open() *Reader {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	rea := &Reader{exchange: exc}
	exc.readers[rea] = 0
	return rea
}

// Close ends the reading.
func (rea *Reader) Close() {
	exc := rea.exchange
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	delete(exc.readers, rea)
	exc.notifyReaders()
}

// Next waits until there is something new, or the context ends.
func (rea *Reader) Next(ctx context.Context) (Progress, error) {
	for {
		pro, fresh, changed := rea.poll()
		if fresh {
			return pro, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		}
	}
}

func (rea *Reader) poll() (Progress, bool, <-chan struct{}) {
	exc := rea.exchange
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	pro := Progress{Status: exc.status, Header: exc.header, Over: exc.ended, Whole: exc.complete, Final: exc.final}
	if exc.final != nil && rea.offset == 0 {
		// Whoever hasn't had any of a broken answer gets the error alone.
		pro.Status = 0
		return pro, true, nil
	}
	if rea.offset < exc.base {
		pro.Trimmed = true
		return pro, true, nil
	}
	if fresh := exc.kept[rea.offset-exc.base:]; len(fresh) > 0 {
		pro.Data = append([]byte(nil), fresh...)
		rea.offset += len(fresh)
		exc.readers[rea] = rea.offset
		if len(exc.kept) > MaxKeptBytes {
			exc.notifyReaders()
		}
	}
	return pro, len(pro.Data) > 0 || exc.ended, exc.changed
}
