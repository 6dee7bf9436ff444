package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
)

func engineAt(millis int64, sequence uint64) fleet.Engine {
	born := time.Time{}
	if millis != 0 {
		born = time.UnixMilli(millis)
	}
	return fleet.Engine{ID: fleet.NewEngineID("e", born), Service: "s", Slots: int(millis) + int(sequence), Sequence: sequence}
}

func TestEngineIDIsReadAsItWasWritten(t *testing.T) {
	assert.Equal(t, fleet.EngineID{Name: "i-1"}.String(), "i-1")
	assert.Equal(t, engineAt(1764720000123, 1).ID.String(), "e@1764720000123")
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.StringMatching(`[a-z@0-9-]{1,8}`).Draw(rt, "name")
		born := time.Time{}
		if millis := rapid.Int64Range(0, 1<<42).Draw(rt, "born"); millis > 0 {
			born = time.UnixMilli(millis)
		}
		eid := fleet.NewEngineID(name, born)
		if got := fleet.ParseEngineID(eid.String()); got != eid {
			rt.Fatalf("%q: %v, want %v", eid.String(), got, eid)
		}
	})
}

// Entries may arrive in any order: of each engine the newest of the latest run counts,
// and what arrives late changes nothing.
func TestEntriesThatArriveLateChangeNothing(t *testing.T) {
	for _, tst := range []struct {
		name        string
		known, next fleet.Engine
		newer       bool
	}{
		{"a later run, whose counts start anew", engineAt(1000, 9), engineAt(2000, 1), true},
		{"an older run", engineAt(2000, 1), engineAt(1000, 9), false},
		{"the same run goes on", engineAt(1000, 3), engineAt(1000, 4), true},
		{"the same run, written before", engineAt(1000, 4), engineAt(1000, 3), false},
		{"the same run again, as in a whole reading", engineAt(1000, 4), engineAt(1000, 4), true},
		{"an engine that tells no start", engineAt(0, 4), engineAt(0, 5), true},
		{"it tells its start now", engineAt(0, 4), engineAt(1000, 1), true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			dir := fleet.NewDirectory()
			assert.Assert(t, dir.SetEngine(time.Unix(100, 0), tst.known))
			assert.Equal(t, dir.SetEngine(time.Unix(100, 0), tst.next), tst.newer)
			want := tst.known
			if tst.newer {
				want = tst.next
			}
			assert.DeepEqual(t, dir.Engines()[0].ID, want.ID)
			assert.Equal(t, dir.Engines()[0].Slots, want.Slots)
		})
	}
}

// An entry that tells no start, at the key of an engine that told one, is another
// writer's.
func TestEntryWithoutAStartIsNotTheEngines(t *testing.T) {
	dir := fleet.NewDirectory()
	dir.SetEngine(time.Unix(100, 0), engineAt(1000, 4))
	dir.SetEngine(time.Unix(100, 0), fleet.Engine{ID: fleet.EngineID{Name: "other"}})
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(0, 5)))
	assert.Equal(t, len(dir.Engines()), 1)
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(1000, 5)))
	assert.Equal(t, len(dir.Engines()), 2)
}

// A run whose entry lapsed in an outage isn't kept alive by what its former run wrote.
func TestLateEntryDoesNotBringBackWhatLapsed(t *testing.T) {
	now := time.Unix(100, 0)
	dir := fleet.NewDirectory()
	dir.SetEngine(time.Unix(100, 0), engineAt(2000, 1))
	dir.Hold(now.Add(time.Second))
	dir.RemoveEngine(now, "e")
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(1000, 7)))
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(2000, 0)), "the run enters again")
	dir.RemoveEngine(now, "e")
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(1000, 7)))
	assert.Assert(t, dir.Settle(now.Add(time.Second)))
	assert.Equal(t, len(dir.Engines()), 0)
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(3000, 1)))
}

// In whichever order entries of runs arrive, the last one known is the latest run's
// newest.
func TestAnyOrderOfEntriesEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir := fleet.NewDirectory()
		var newest fleet.Engine
		for idx := range rapid.IntRange(1, 20).Draw(rt, "entries") {
			eng := engineAt(rapid.Int64Range(1, 4).Draw(rt, "born"), rapid.Uint64Range(1, 5).Draw(rt, "sequence"))
			if idx == 0 || eng.Supersedes(newest) {
				newest = eng
			}
			dir.SetEngine(time.Unix(100, 0), eng)
		}
		if got := dir.Engines()[0]; got.ID != newest.ID || got.Sequence != newest.Sequence {
			rt.Fatalf("known %v %d, newest %v %d", got.ID, got.Sequence, newest.ID, newest.Sequence)
		}
	})
}

// An entry tells for how much longer its engine is cold when it is written: read again it tells
// nothing new, and a later one of the same run doesn't make it warm sooner.
func TestEntryThatIsReadAgainKeepsNoEngineCold(t *testing.T) {
	now := time.Unix(100, 0)
	cold := engineAt(1000, 1)
	cold.ColdFor = 3 * time.Second
	dir := fleet.NewDirectory()
	dir.SetEngine(now, cold)
	assert.Equal(t, dir.Engines()[0].ColdUntil, now.Add(3*time.Second))
	later := now.Add(2 * time.Second)
	dir.Replace(later, []fleet.Engine{cold}, nil)
	assert.Equal(t, dir.Engines()[0].ColdUntil, now.Add(3*time.Second), "the same entry")
	warm := engineAt(1000, 2)
	dir.SetEngine(later, warm)
	assert.Equal(t, dir.Engines()[0].ColdUntil, now.Add(3*time.Second))
	cold.Sequence = 3
	dir.SetEngine(later, cold)
	assert.Equal(t, dir.Engines()[0].ColdUntil, later.Add(3*time.Second), "cold again")
	dir.SetEngine(later, engineAt(2000, 1))
	assert.Assert(t, dir.Engines()[0].ColdUntil.IsZero(), "another run, that is warm")
	dir.Chill(later, "", func(string) time.Duration { return time.Minute })
	assert.Equal(t, dir.Engines()[0].ColdUntil, later.Add(time.Minute))
	dir.Chill(later, "elsewhere", func(string) time.Duration { return time.Hour })
	assert.Equal(t, dir.Engines()[0].ColdUntil, later.Add(time.Minute))
}
