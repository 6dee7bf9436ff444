package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the event's id; 0 if it has none.
	ID int64
}

// EventTooLargeError reports an event over the size limit.
type EventTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error returns the limit.
func (ete *EventTooLargeError) Error() string {
	return "stream event is larger than the limit of " + strconv.Itoa(ete.Limit) + " bytes"
}

// EventReader reads a stream event by event.
type EventReader struct {
	lines     *bufio.Reader
	allowance *Allowance
}

// NewEventReader returns a reader of the stream in rea. It is for streams of which any number may be held; the others are
// read by Answer.Events.
func NewEventReader(rea io.Reader) *EventReader {
	return newEventReader(rea, &Allowance{})
}

func newEventReader(rea io.Reader, alw *Allowance) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(rea, bufferBytes), allowance: alw}
}

var idField = []byte("id:")

// Next returns the next complete event. It returns io.EOF if the stream ends between two
// events, io.ErrUnexpectedEOF if it ends within one, an *EventTooLargeError for an event
// over the size limit, and a *HeldBytesError if the host may hold no more of it.
func (evr *EventReader) Next() (Event, error) {
	var evt Event
	for {
		line, err := evr.lines.ReadSlice('\n')
		// While an event is copied, both copies are held.
		if herr := evr.allowance.Hold(3 * int64(len(evt.Raw)+len(line))); herr != nil {
			return Event{}, herr
		}
		evt.Raw = append(evt.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(evt.Raw) > maxEventBytes {
				return Event{}, &EventTooLargeError{Limit: maxEventBytes}
			}
			continue
		case errors.Is(err, io.EOF) && len(evt.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case len(evt.Raw) > maxEventBytes:
			return Event{}, &EventTooLargeError{Limit: maxEventBytes}
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return evt, nil
		}
		if text, isID := bytes.CutPrefix(trimmed, idField); isID {
			num, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil {
				return Event{}, errors.Wrap(err, "event id: want an integer")
			}
			evt.ID = num
		}
	}
}
