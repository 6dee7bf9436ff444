package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/eventstream"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte

	eventstream.Event
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

// EventReader reads a stream event by event, as the HTML standard defines them (9.2.5): a line ends with a line feed, a
// carriage return, or both.
type EventReader struct {
	source    *bufio.Reader
	allowance *Allowance
	// begun is set behind the first line.
	begun bool
	// afterReturn is set behind a carriage return, to which a line feed that follows belongs.
	afterReturn bool
	// returnsAndFeeds is set if the last line that is known whole ended with both.
	returnsAndFeeds bool
	// failed is the error with which the source ended: a connection that was reset may read as closed after that.
	failed error
}

// NewEventReader returns a reader of the stream in rea. It is for streams of which any number may be held; the others are
// read by Answer.Events.
func NewEventReader(rea io.Reader) *EventReader {
	return newEventReader(rea, &Allowance{})
}

func newEventReader(rea io.Reader, alw *Allowance) *EventReader {
	return &EventReader{source: bufio.NewReaderSize(rea, bufferBytes), allowance: alw}
}

// byteOrderMark may stand before the first line of a stream, and isn't part of it.
var byteOrderMark = []byte("\ufeff")

// Next returns the next complete event. It returns io.EOF if the stream ends between two
// events, io.ErrUnexpectedEOF if it ends within one, an *EventTooLargeError for an event
// over the size limit, and a *HeldBytesError if the host may hold no more of it.
func (evr *EventReader) Next() (Event, error) { return evr.NextBehind(nil) }

// NextBehind returns the next event as Next does, with its bytes behind those of events that wait. The limits hold for all of
// them together.
func (evr *EventReader) NextBehind(waiting []byte) (Event, error) {
	evt := Event{Raw: waiting, Event: eventstream.Event{IsComment: true}}
	for {
		// The rest of the line end before belongs to no line.
		if err := evr.readFeed(&evt); err != nil {
			return Event{}, err
		}
		begin := len(evt.Raw)
		err := evr.readLine(&evt)
		if errors.Is(err, io.EOF) {
			return evr.end(evt, len(waiting), begin)
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(evt.Raw[begin:], "\r\n")
		if !evr.begun {
			line = bytes.TrimPrefix(line, byteOrderMark)
			evr.begun = true
		}
		if len(line) == 0 {
			if err := evr.finish(&evt); err != nil {
				return Event{}, err
			}
			return evt, nil
		}
		evt.parse(line)
	}
}

// readLine appends the bytes up to the next line end to the event: a line feed, or a carriage return.
func (evr *EventReader) readLine(evt *Event) error {
	for {
		part, err := evr.buffered()
		if err != nil {
			return err
		}
		if end := bytes.IndexByte(part, '\n'); end >= 0 {
			part = part[:end+1]
		}
		if end := bytes.IndexByte(part, '\r'); end >= 0 {
			part = part[:end+1]
		}
		if err := evr.take(evt, part); err != nil {
			return err
		}
		switch evt.Raw[len(evt.Raw)-1] {
		case '\n':
			evr.returnsAndFeeds = false
			return nil
		case '\r':
			evr.afterReturn = true
			return nil
		}
	}
}

// readFeed appends the line feed that belongs to a carriage return before it, if one has arrived or arrives next.
func (evr *EventReader) readFeed(evt *Event) error {
	if !evr.afterReturn {
		return nil
	}
	part, err := evr.buffered()
	if err != nil {
		// The next line shows the error.
		return nil //nolint:nilerr // The error is kept, see buffered.
	}
	evr.afterReturn = false
	evr.returnsAndFeeds = part[0] == '\n'
	if !evr.returnsAndFeeds {
		return nil
	}
	return evr.take(evt, part[:1])
}

// finish appends the line feed at the end of an event. It waits for one only in a stream whose lines end with both, where an
// event without it is incomplete: the next event of another stream may come much later.
func (evr *EventReader) finish(evt *Event) error {
	if evr.source.Buffered() == 0 && !evr.returnsAndFeeds {
		return nil
	}
	err := evr.readFeed(evt)
	if err != nil || !evr.afterReturn {
		return err
	}
	if errors.Is(evr.failed, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return evr.failed
}

// end returns the event at the end of the stream, with the number of bytes that waited, and that of those before the last line:
// what arrived of an incomplete event isn't passed on.
func (evr *EventReader) end(evt Event, waiting, begin int) (Event, error) {
	switch {
	case len(evt.Raw) == waiting:
		return Event{}, io.EOF
	case begin == len(evt.Raw) && begin == waiting+1 && evt.Raw[waiting] == '\n':
		// The line feed that belongs to the end of the event before.
		return evt, nil
	default:
		return Event{}, io.ErrUnexpectedEOF
	}
}

// buffered returns the bytes that have arrived, at least one. Its error is the same from the first one on.
func (evr *EventReader) buffered() ([]byte, error) {
	if evr.failed != nil {
		return nil, evr.failed
	}
	if _, err := evr.source.Peek(1); err != nil {
		evr.failed = err
		return nil, err
	}
	return evr.source.Peek(evr.source.Buffered())
}

// take appends buffered bytes to the event.
func (evr *EventReader) take(evt *Event, part []byte) error {
	size := len(evt.Raw) + len(part)
	if size > maxEventBytes {
		return &EventTooLargeError{Limit: maxEventBytes}
	}
	// While an event is copied, both copies are held.
	if err := evr.allowance.Hold(3 * int64(size)); err != nil {
		return err
	}
	evt.Raw = append(evt.Raw, part...)
	// The bytes have been peeked at, so they are there.
	_, _ = evr.source.Discard(len(part))
	return nil
}

const (
	idField   = "id"
	dataField = "data"
	// blanks around an id aren't part of it: a header can't carry them.
	blanks = " \t"
	// null makes an id invalid by the HTML standard; the field is ignored.
	null = "\x00"
)

// parse reads a line of the event. The last id counts.
func (evt *Event) parse(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case dataField:
		evt.IsComment = false
	case idField:
		if !bytes.Contains(value, []byte(null)) {
			evt.IsComment = false
			evt.ID = eventstream.ID(bytes.Trim(value, blanks))
		}
	}
}
