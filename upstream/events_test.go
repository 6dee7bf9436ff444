package upstream_test

import (
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/upstream"
)

// Guards against passing on an incomplete event when a stream ends within it.
func TestEventsAreComplete(t *testing.T) {
	long := "data: " + strings.Repeat("x", 10_000)
	for name, tst := range map[string]struct {
		text string
		ids  []eventstream.ID
		end  error
	}{
		"two events":             {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []eventstream.ID{"1", "2"}, io.EOF},
		"carriage returns":       {"id:7\r\ndata: a\r\n\r\n", []eventstream.ID{"7"}, io.EOF},
		"no id":                  {"data: a\n\n", []eventstream.ID{""}, io.EOF},
		"inside an event":        {"id: 1\ndata: a\n\nid: 2\ndata:", []eventstream.ID{"1"}, io.ErrUnexpectedEOF},
		"before its last byte":   {"id: 1\r\ndata: a\r\n\r", nil, io.ErrUnexpectedEOF},
		"before the event's end": {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"long line":              {"id: 3\n" + long + "\n\n", []eventstream.ID{"3"}, io.EOF},
		"empty stream":           {"", nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			reader := upstream.NewEventReader(strings.NewReader(tst.text))
			var ids []eventstream.ID
			for {
				evt, err := reader.Next()
				if err != nil {
					assert.Assert(t, errors.Is(err, tst.end), "%v", err)
					break
				}
				ids = append(ids, evt.ID)
			}
			assert.DeepEqual(t, ids, tst.ids)
		})
	}
}

// Guards against sound streams that are cut: an event whose id was no number of 64 bits was an error.
func TestEventIDIsReadAsReceived(t *testing.T) {
	for line, want := range map[string]eventstream.ID{
		"id: 0": "0", "id: -3": "-3", "id: 007": "007", "id: 9223372036854775808": "9223372036854775808", "id: ev-001": "ev-001", "id: x": "x",
		"id:5": "5", "id:  5 ": "5", "id: a:b": "a:b", "id:": "", "id: ": "", "id": "", "ids: 5": "", "Id: 5": "", ": id: 5": "", " id: 5": "",
		"id: 5\x00": "", "id: 4\nid: 5": "5", "id: 4\nid": "", "id: 4\nid: \x00": "4", "data: a\nid: 5": "5",
	} {
		t.Run(line, func(t *testing.T) {
			text := line + "\ndata: b\n\n"
			evt, err := upstream.NewEventReader(strings.NewReader(text)).Next()
			assert.NilError(t, err)
			assert.Equal(t, evt.ID, want)
			assert.Equal(t, string(evt.Raw), text)
		})
	}
}

// Guards against passing on part of an event when a stream is truncated at an arbitrary byte.
func TestTruncatedStreamYieldsCompleteEventsOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var text strings.Builder
		for range rapid.IntRange(0, 5).Draw(rt, "events") {
			text.WriteString("id: 4\ndata: " + rapid.StringMatching(`[a-z]{0,20}`).Draw(rt, "data") + "\n\n")
		}
		stream := text.String()
		part := stream[:rapid.IntRange(0, len(stream)).Draw(rt, "cut")]
		reader := upstream.NewEventReader(strings.NewReader(part))
		var passed string
		for {
			evt, err := reader.Next()
			if err != nil {
				break
			}
			passed += string(evt.Raw)
		}
		if !strings.HasPrefix(stream, passed) || (passed != "" && !strings.HasSuffix(passed, "\n\n")) {
			rt.Fatalf("passed %q of %q", passed, part)
		}
	})
}

// Guards against events that end too soon (ORDER): a line as long as the read buffer left its end to the next read, which took
// it for an empty line, and what stood behind a buffer's length within a line was read as a line of its own.
func TestEventEndsWithItsEmptyLine(t *testing.T) {
	for length := 4090; length <= 4100; length++ {
		text := "data: " + strings.Repeat("x", length-6) + "\nid: 3\n\n"
		evt, err := upstream.NewEventReader(strings.NewReader(text)).Next()
		assert.NilError(t, err)
		assert.Equal(t, string(evt.Raw), text, "a line of %d bytes", length)
	}
	evt, err := upstream.NewEventReader(strings.NewReader("id: 3\ndata: " + strings.Repeat("x", 4096-12) + "id: 7\n\n")).Next()
	assert.NilError(t, err)
	assert.Equal(t, evt.ID, eventstream.ID("3"))
}

// Guards against streams that are cut although they are sound: lines may end with a carriage return alone.
func TestLinesEndInAnyWay(t *testing.T) {
	for name, end := range map[string]string{"line feeds": "\n", "carriage returns": "\r", "both": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			text := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "\n", end)
			for size := 1; size <= len(text); size++ {
				events, err := readAll(text, size)
				assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
				assert.Equal(t, len(events), 2, "read by %d bytes", size)
				assert.Equal(t, events[0].ID, eventstream.ID("1"))
				assert.Equal(t, events[1].ID, eventstream.ID("2"))
				assert.Equal(t, joined(events), text)
			}
		})
	}
}

// An event whose lines end with carriage returns is passed on before the next one begins.
func TestEventIsPassedOnAsItComes(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n"} {
		source, sink := io.Pipe()
		done := make(chan upstream.Event, 1)
		go func() {
			evt, _ := upstream.NewEventReader(source).Next()
			done <- evt
		}()
		text := "data: a" + end + end
		_, err := io.WriteString(sink, text)
		assert.NilError(t, err)
		assert.Equal(t, string((<-done).Raw), text)
		assert.NilError(t, sink.Close())
	}
}

// sizedReader returns at most a number of bytes at a time.
type sizedReader struct {
	source io.Reader
	size   int
}

// Read implements io.Reader.
func (srd sizedReader) Read(buf []byte) (int, error) {
	return srd.source.Read(buf[:min(len(buf), max(1, srd.size))])
}

// readAll returns the events of a text that arrives by a number of bytes, and the error behind them.
func readAll(text string, size int) ([]upstream.Event, error) {
	reader := upstream.NewEventReader(sizedReader{source: strings.NewReader(text), size: size})
	var events []upstream.Event
	for {
		evt, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, evt)
	}
}

func joined(events []upstream.Event) string {
	var text strings.Builder
	for _, evt := range events {
		text.Write(evt.Raw)
	}
	return text.String()
}

// block is an event as the whole text shows it.
type block struct {
	text  string
	event eventstream.Event
}

// wholeBlocks splits a whole text at its empty lines. It returns the complete events, and what follows them.
func wholeBlocks(text string) (blocks []block, rest string) {
	rest = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	none := block{event: eventstream.Event{IsComment: true}}
	cur := none
	first := true
	for {
		line, after, found := strings.Cut(rest, "\n")
		if !found && strings.HasSuffix(text, "\r\n\r") {
			// Lines end with both, and the last feed is missing.
			last := len(blocks) - 1
			return blocks[:last], blocks[last].text
		}
		if !found {
			return blocks, cur.text + rest
		}
		rest = after
		cur.text += line + "\n"
		if first {
			line, first = strings.TrimPrefix(line, "\ufeff"), false
		}
		if value, isID := strings.CutPrefix(line+":", "id:"); isID && !strings.ContainsRune(value, 0) {
			cur.event = eventstream.Event{ID: eventstream.ID(strings.Trim(strings.TrimSuffix(value, ":"), " \t"))}
		}
		if strings.HasPrefix(line+":", "data:") {
			cur.event.IsComment = false
		}
		if line == "" {
			blocks = append(blocks, cur)
			cur = none
		}
	}
}

// FuzzEvents holds the reader against the whole text: each event is complete, has the lines that stand there, whichever way the
// bytes arrive, and no byte is lost.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\r\n\r", "\r\n\r", "\r\n\r\r", "a\r\n\r\n\r",
		"id: 1\ndata: a\n\n", "id: 0\r\ndata: a\r\n\r\n", "id:-3\r\r", "\ufeffid: 1\n\n\n\n", "id\n\n", "\r\n\r\n\n\r",
		"id: 1\ndata: " + strings.Repeat("x", 4096-12) + "id: 7\n\nid: 2\n\n", "data: " + strings.Repeat("x", 4090) + "\n\n",
	} {
		f.Add(text, 1)
		f.Add(text, 7)
		f.Add(text, 4096)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		blocks, rest := wholeBlocks(text)
		if len(text) > 1<<20 {
			t.Skip()
		}
		events, err := readAll(text, size)
		passed := joined(events)
		assert.Assert(t, strings.HasPrefix(text, passed), "%q", passed)
		if rest == "" {
			assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
			assert.Equal(t, passed, text)
		} else {
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		}
		assert.DeepEqual(t, blocksOf(events), blocks, cmp.AllowUnexported(block{}), cmpopts.EquateEmpty())
	})
}

// blocksOf returns the events in the form of wholeBlocks. A line feed that belongs to the carriage return before it may stand at
// the beginning of the next event.
func blocksOf(events []upstream.Event) []block {
	var blocks []block
	afterReturn := false
	for _, evt := range events {
		text := string(evt.Raw)
		if afterReturn {
			text = strings.TrimPrefix(text, "\n")
		}
		afterReturn = strings.HasSuffix(string(evt.Raw), "\r")
		if text == "" {
			continue
		}
		text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
		blocks = append(blocks, block{text: text, event: evt.Event})
	}
	return blocks
}

// brokenOnce returns an error behind its text, and ends from then on, as a connection does that was reset.
type brokenOnce struct {
	text   io.Reader
	broken bool
}

// Read implements io.Reader.
func (bro *brokenOnce) Read(buf []byte) (int, error) {
	count, err := bro.text.Read(buf)
	if err != nil && !bro.broken {
		bro.broken = true
		return count, syscall.ECONNRESET
	}
	return count, err
}

// Guards against a stream that looks complete (ORDER): its connection was reset behind a carriage return, and reads as closed after
// that.
func TestStreamThatWasResetStaysBroken(t *testing.T) {
	for _, text := range []string{"data: a\n\n", "data: a\r\r", "data: a\r\n\r\n"} {
		reader := upstream.NewEventReader(&brokenOnce{text: strings.NewReader(text)})
		evt, err := reader.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(evt.Raw), text)
		for range 2 {
			_, err = reader.Next()
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%q: %v", text, err)
		}
	}
	_, err := upstream.NewEventReader(&brokenOnce{text: strings.NewReader("data: a\r\n\r")}).Next()
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "an event without the last byte of its end is incomplete: %v", err)
}
