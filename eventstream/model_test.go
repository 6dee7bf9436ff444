package eventstream_test

import (
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/eventstream"
)

// piece is an event with its number in the stream; comments have none.
type piece struct {
	eventstream.Event
	number int
}

// drawStream draws a stream: its events rise from any number by any steps, and some have no id, a text or zeros before it.
func drawStream(rt *rapid.T) []piece {
	var pieces []piece
	id := rapid.IntRange(-30, 3).Draw(rt, "first id")
	withID := rapid.SampledFrom([]int{0, 50, 100}).Draw(rt, "with ids, of 100")
	texts := rapid.SampledFrom([]int{0, 0, 50, 100}).Draw(rt, "texts among these, of 100")
	for num := range rapid.IntRange(1, 12).Draw(rt, "events") {
		evt := piece{number: num + 1}
		switch {
		case rapid.IntRange(0, 99).Draw(rt, "has id") >= withID:
		case rapid.IntRange(0, 99).Draw(rt, "is text") < texts:
			evt.ID = eventstream.ID(fmt.Sprintf("ev-%d", num))
		case id >= 0 && rapid.Bool().Draw(rt, "padded"):
			evt.ID = eventstream.ID(fmt.Sprintf("%04d", id))
		default:
			evt.ID = eventstream.ID(strconv.Itoa(id))
		}
		id += rapid.SampledFrom([]int{1, 1, 7, 1000}).Draw(rt, "step")
		if rapid.IntRange(0, 5).Draw(rt, "comment") == 0 {
			pieces = append(pieces, piece{Event: eventstream.Event{IsComment: true}})
		}
		pieces = append(pieces, evt)
	}
	return pieces
}

// behindID returns the events of a stream behind the one with the id, all if it is empty; false if none has it.
func behindID(pieces []piece, id eventstream.ID) ([]piece, bool) {
	if id == "" {
		return pieces, true
	}
	for idx, evt := range pieces {
		if evt.ID == id {
			return pieces[idx+1:], true
		}
	}
	return nil, false
}

// drawRun returns what the next engine sends: what it is asked for, all of the stream if it ignores that, or what it has from an
// older event on. All of it arrives, or a part.
func drawRun(rt *rapid.T, pieces []piece, lastEvent eventstream.ID) (sent []piece, whole bool) {
	sent, known := behindID(pieces, lastEvent)
	switch older := len(pieces) - len(sent); {
	case !known || rapid.IntRange(0, 3).Draw(rt, "ignores the last event") == 0:
		sent = pieces
	case older > 0 && rapid.IntRange(0, 3).Draw(rt, "goes on at an older event") == 0:
		sent = pieces[rapid.IntRange(0, older-1).Draw(rt, "older event"):]
	}
	if rapid.IntRange(0, 2).Draw(rt, "whole") == 0 {
		return sent, true
	}
	return sent[:rapid.IntRange(0, len(sent)).Draw(rt, "breaks off behind")], false
}

// Whatever ids a stream has, wherever its engines break off, and whether or not these go on where they are asked to, a client gets
// each piece once and in order, and all of them if the answer is complete. If all ids are numbers and the engines do as they are
// asked, the stream goes on.
func TestClientGetsEachPieceOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pieces := drawStream(rt)
		var got []int
		var pos eventstream.Position = eventstream.Beginning{}
		for range 6 {
			sent, whole := drawRun(rt, pieces, eventstream.LastEvent(pos))
			run := eventstream.NewRun(pos)
			complete := forward(run, sent, whole, &got)
			pos = run.Position()
			checkPieces(rt, got)
			if complete {
				if len(got) < pieces[len(pieces)-1].number {
					rt.Fatalf("the answer is complete with %v of %d", got, len(pieces))
				}
				return
			}
			if !eventstream.CanGoOn(pos) {
				return
			}
		}
	})
}

// forward passes the events of a run on as a host does, and reports whether the answer is complete.
func forward(run *eventstream.Run, sent []piece, whole bool, got *[]int) bool {
	var waiting []int
	for _, evt := range sent {
		passed, err := run.Next(evt.Event)
		if err != nil {
			return false
		}
		if !evt.IsComment {
			waiting = append(waiting, evt.number)
		}
		if passed {
			*got, waiting = append(*got, waiting...), nil
		}
	}
	return whole && run.End() == nil
}

func checkPieces(rt *rapid.T, got []int) {
	for idx, num := range got {
		if num != idx+1 {
			rt.Fatalf("got pieces %v", got)
		}
	}
}

// Nothing is resumed less than it can be: where all ids are numbers and the engines go on as they are asked to, a stream goes on
// behind each event.
func TestNumberedStreamGoesOnBehindEachEvent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var pieces []piece
		id := rapid.IntRange(-30, 3).Draw(rt, "first id")
		for num := range rapid.IntRange(1, 12).Draw(rt, "events") {
			pieces = append(pieces, piece{Event: eventstream.Event{ID: eventstream.ID(strconv.Itoa(id))}, number: num + 1})
			id += rapid.IntRange(1, 1000).Draw(rt, "step")
		}
		var got []int
		var pos eventstream.Position = eventstream.Beginning{}
		for range pieces {
			if len(got) == len(pieces) {
				return
			}
			sent, _ := behindID(pieces, eventstream.LastEvent(pos))
			run := eventstream.NewRun(pos)
			forward(run, sent[:rapid.IntRange(1, len(sent)).Draw(rt, "breaks off behind")], false, &got)
			pos = run.Position()
			checkPieces(rt, got)
			if !eventstream.CanGoOn(pos) {
				rt.Fatalf("breaks off behind %v", got)
			}
		}
		if len(got) < len(pieces) {
			rt.Fatalf("got %v of %d, each run sent an event more", got, len(pieces))
		}
	})
}
