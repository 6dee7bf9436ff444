package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Event is one whole event of a stream.
type Event struct {
	// Raw is the event as it came, its empty line included.
	Raw []byte
	// ID is the event's number; 0 where it has none.
	ID int64
}

// EventTooLargeError reports an event beyond what is taken.
type EventTooLargeError struct {
	Limit int
}

// Error names the limit.
func (ete *EventTooLargeError) Error() string {
	return "event is over " + strconv.Itoa(ete.Limit) + " bytes"
}

// EventReader reads a stream event by event.
type EventReader struct {
	lines *bufio.Reader
}

// NewEventReader returns a reader of the stream.
func NewEventReader(rea io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(rea, bufferBytes)}
}

var idField = []byte("id:")

// Next returns the next whole event; io.EOF comes only between events, and
// io.ErrUnexpectedEOF within one.
func (evr *EventReader) Next() (Event, error) {
	var evt Event
	for {
		line, err := evr.lines.ReadSlice('\n')
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
				return Event{}, errors.Wrap(err, "event id")
			}
			evt.ID = num
		}
	}
}
