package eventstream_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/eventstream"
)

// events returns events with the ids; "none" stands for an event without one, "comment" for a comment.
func events(ids string) []eventstream.Event {
	var list []eventstream.Event
	for id := range strings.FieldsSeq(ids) {
		switch id {
		case "none":
			list = append(list, eventstream.Event{})
		case "comment":
			list = append(list, eventstream.Event{IsComment: true})
		default:
			list = append(list, eventstream.Event{ID: eventstream.ID(id)})
		}
	}
	return list
}

func behind(id eventstream.ID) eventstream.Position { return eventstream.Behind{ID: id} }

// Guards against streams that begin anew, or go on behind an older event, of which the client has events (ORDER): 0 and a missing
// id stood for none yet.
func TestPositionIsBehindTheLastEvent(t *testing.T) {
	for _, tst := range []struct {
		begins eventstream.ID
		ids    string
		want   eventstream.Position
	}{
		{"", "", eventstream.Beginning{}},
		{"", "comment comment", eventstream.Beginning{}},
		{"", "0", behind("0")},
		{"", "-20 -19", behind("-19")},
		{"", "-1 0 1", behind("1")},
		{"", "007", behind("007")},
		{"", "007 8 comment", behind("8")},
		{"", "9223372036854775807 9223372036854775808", behind("9223372036854775808")},
		{"", "none", eventstream.Unknown{}},
		{"", "1 none", eventstream.Unknown{}},
		{"", "1 none comment", eventstream.Unknown{}},
		{"", "none none 3", behind("3")},
		{"", "2 none 4", behind("4")},
		{"", "ev-1", eventstream.Unknown{}},
		{"", "1 ev-1 2", behind("2")},
		{"", strings.Repeat("9", 257), eventstream.Unknown{}},
		{"", "1 1", eventstream.Unknown{}},
		{"", "1 01 2 3", eventstream.Unknown{}},
		{"", "5 none 4 none 6", eventstream.Unknown{}},
		{"0", "", behind("0")},
		{"ev-1", "comment", behind("ev-1")},
		{"0", "1", behind("1")},
		{"5", "none", behind("5")},
		{"5", "6 none", eventstream.Unknown{}},
		{"ev-1", "ev-2", eventstream.Unknown{}},
		{"5", "none 7", behind("7")},
	} {
		t.Run(string(tst.begins)+" "+tst.ids, func(t *testing.T) {
			run := eventstream.NewRun(eventstream.PositionBehind(tst.begins))
			for _, evt := range events(tst.ids) {
				_, err := run.Next(evt)
				assert.NilError(t, err)
			}
			assert.Equal(t, run.Position(), tst.want)
			_, isUnknown := tst.want.(eventstream.Unknown)
			assert.Equal(t, eventstream.CanGoOn(run.Position()), !isUnknown)
		})
	}
}

// Guards against ids that are no place to go on behind although they are numbers, and the other way round.
func TestNumbersOfAnySizeAreIDs(t *testing.T) {
	for id, want := range map[eventstream.ID]string{
		"0": "0", "-0": "0", "-3": "-3", "007": "7", "9223372036854775808": "9223372036854775808", "": "", "x": "", "1.5": "", "1_000": "", "0x1": "", "5 6": "", "-": "",
	} {
		num, isNumber := id.Number()
		assert.Equal(t, isNumber, want != "", string(id))
		if isNumber {
			assert.Equal(t, num.String(), want)
		}
	}
}

// Guards against pieces that a client gets twice (ORDER): an engine that was to go on behind an event began anew, and its events
// were passed on.
func TestRunThatDoesNotGoOnIsRefused(t *testing.T) {
	for _, tst := range []struct {
		begins eventstream.ID
		ids    string
		// passed is what is passed on; refused is set if the run is refused behind it, or at its end.
		passed  int
		refused bool
	}{
		{"", "3 2 2 ev-1 none", 5, false},
		{"5", "6 7", 2, false},
		{"5", "1 2", 0, true},
		{"5", "5", 0, true},
		{"5", "005 6", 0, true},
		{"0", "0", 0, true},
		{"-3", "-2", 1, false},
		{"-3", "-4", 0, true},
		{"9223372036854775808", "9223372036854775807", 0, true},
		{"5", "none none 8 none", 4, false},
		{"5", "none none 3", 0, true},
		{"5", "none none", 0, true},
		{"5", "comment none comment 6", 4, false},
		{"5", "comment", 1, false},
		{"5", "6 7 7", 2, true},
		{"5", "6 2", 1, true},
		{"5", "ev-1", 0, true},
		{"ev-1", "ev-2 none", 2, false},
		{"ev-1", "ev-1", 0, true},
		{"ev-1", "2", 0, true},
		{"ev-1", "ev-2 ev-2", 1, true},
	} {
		t.Run(string(tst.begins)+" "+tst.ids, func(t *testing.T) {
			passed, err := passedOn(eventstream.NewRun(eventstream.PositionBehind(tst.begins)), events(tst.ids))
			assert.Equal(t, len(passed), tst.passed)
			var der *eventstream.DiscontinuityError
			assert.Equal(t, errors.As(err, &der), tst.refused, "%v", err)
		})
	}
}

// passedOn returns the events of a whole run that are passed on, and the error that ends it.
func passedOn(run *eventstream.Run, list []eventstream.Event) ([]eventstream.Event, error) {
	var all, waiting []eventstream.Event
	for _, evt := range list {
		passed, err := run.Next(evt)
		if err != nil {
			return all, err
		}
		waiting = append(waiting, evt)
		if passed {
			all, waiting = append(all, waiting...), nil
		}
	}
	if err := run.End(); err != nil {
		return all, err
	}
	return append(all, waiting...), nil
}

// Guards against a head of one engine before the events of another: a comment is passed on behind the first event only.
func TestCommentWaitsForFirstEvent(t *testing.T) {
	for _, begins := range []eventstream.ID{"", "5"} {
		run := eventstream.NewRun(eventstream.PositionBehind(begins))
		for idx, want := range []bool{false, true, true} {
			passed, err := run.Next(events("comment 6 comment")[idx])
			assert.NilError(t, err)
			assert.Equal(t, passed, want)
		}
	}
}
