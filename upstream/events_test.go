package upstream_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/upstream"
)

// Guards against passing on an incomplete event when a stream ends within it.
func TestEventsAreComplete(t *testing.T) {
	long := "data: " + strings.Repeat("x", 10_000)
	for name, tst := range map[string]struct {
		text string
		ids  []int64
		end  error
	}{
		"two events":             {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"carriage returns":       {"id:7\r\ndata: a\r\n\r\n", []int64{7}, io.EOF},
		"no id":                  {"data: a\n\n", []int64{0}, io.EOF},
		"inside an event":        {"id: 1\ndata: a\n\nid: 2\ndata:", []int64{1}, io.ErrUnexpectedEOF},
		"before the event's end": {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"long line":              {"id: 3\n" + long + "\n\n", []int64{3}, io.EOF},
		"empty stream":           {"", nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			reader := upstream.NewEventReader(strings.NewReader(tst.text))
			var ids []int64
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

func TestInvalidEventIDIsError(t *testing.T) {
	_, err := upstream.NewEventReader(strings.NewReader("id: x\n\n")).Next()
	assert.ErrorContains(t, err, "event id")
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

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := upstream.NewEventReader(strings.NewReader(text))
		total := 0
		for {
			evt, err := reader.Next()
			if err != nil {
				return
			}
			total += len(evt.Raw)
			if total > len(text) {
				t.Fatal("events contain more bytes than the input")
			}
		}
	})
}
