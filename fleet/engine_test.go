package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
)

func engineAt(millis int64, sequence uint64) fleet.Engine {
	startTime := time.Time{}
	if millis != 0 {
		startTime = time.UnixMilli(millis)
	}
	return fleet.Engine{ID: fleet.NewEngineID("e", startTime), Service: "s", Slots: int(millis) + int(sequence), Sequence: sequence}
}

func TestEngineIDTextRoundTrip(t *testing.T) {
	assert.Equal(t, fleet.EngineID{Name: "i-1"}.String(), "i-1")
	assert.Equal(t, engineAt(1764720000123, 1).ID.String(), "e@1764720000123")
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.StringMatching(`[a-z@0-9-]{1,8}`).Draw(rt, "name")
		startTime := time.Time{}
		if millis := rapid.Int64Range(0, 1<<42).Draw(rt, "start"); millis > 0 {
			startTime = time.UnixMilli(millis)
		}
		eid := fleet.NewEngineID(name, startTime)
		if got := fleet.ParseEngineID(eid.String()); got != eid {
			rt.Fatalf("%q: %v, want %v", eid.String(), got, eid)
		}
	})
}

// Entries may arrive out of order. For each engine the newest entry of the latest run applies;
// an older one that arrives later must change nothing.
func TestStaleEntriesAreIgnored(t *testing.T) {
	for _, tst := range []struct {
		name        string
		known, next fleet.Engine
		newer       bool
	}{
		{"a later run, whose sequence starts again", engineAt(1000, 9), engineAt(2000, 1), true},
		{"an older run", engineAt(2000, 1), engineAt(1000, 9), false},
		{"the next entry of the same run", engineAt(1000, 3), engineAt(1000, 4), true},
		{"an earlier entry of the same run", engineAt(1000, 4), engineAt(1000, 3), false},
		{"the same entry, as in a complete reading", engineAt(1000, 4), engineAt(1000, 4), true},
		{"an engine that reports no start time", engineAt(0, 4), engineAt(0, 5), true},
		{"an engine that reports its start time now", engineAt(0, 4), engineAt(1000, 1), true},
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

// An entry without a start time, at the key of an engine that reported one, was written by
// another process: the engine is dropped until its own entry is back.
func TestEntryWithoutStartTimeDropsTheEngine(t *testing.T) {
	dir := fleet.NewDirectory()
	dir.SetEngine(time.Unix(100, 0), engineAt(1000, 4))
	dir.SetEngine(time.Unix(100, 0), fleet.Engine{ID: fleet.EngineID{Name: "other"}})
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(0, 5)))
	assert.Equal(t, len(dir.Engines()), 1)
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(1000, 5)))
	assert.Equal(t, len(dir.Engines()), 2)
}

// If an engine's entry expired during an outage of the store, a late entry of an earlier run must
// not keep the engine in the directory.
func TestStaleEntryDoesNotRestoreAnExpiredOne(t *testing.T) {
	now := time.Unix(100, 0)
	dir := fleet.NewDirectory()
	dir.SetEngine(time.Unix(100, 0), engineAt(2000, 1))
	dir.HoldRemovals(now.Add(time.Second))
	dir.RemoveEngine(now, "e")
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(1000, 7)))
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(2000, 0)), "the run registers again")
	dir.RemoveEngine(now, "e")
	assert.Assert(t, !dir.SetEngine(time.Unix(100, 0), engineAt(1000, 7)))
	assert.Assert(t, dir.DropMissing(now.Add(time.Second)))
	assert.Equal(t, len(dir.Engines()), 0)
	assert.Assert(t, dir.SetEngine(time.Unix(100, 0), engineAt(3000, 1)))
}

// In whatever order entries arrive, the directory must end with the newest entry of the latest
// run.
func TestNewestEntryIsKeptInAnyOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir := fleet.NewDirectory()
		var newest fleet.Engine
		for idx := range rapid.IntRange(1, 20).Draw(rt, "entries") {
			eng := engineAt(rapid.Int64Range(1, 4).Draw(rt, "start"), rapid.Uint64Range(1, 5).Draw(rt, "sequence"))
			if idx == 0 || eng.Supersedes(newest) {
				newest = eng
			}
			dir.SetEngine(time.Unix(100, 0), eng)
		}
		if got := dir.Engines()[0]; got.ID != newest.ID || got.Sequence != newest.Sequence {
			rt.Fatalf("directory holds %v %d, newest is %v %d", got.ID, got.Sequence, newest.ID, newest.Sequence)
		}
	})
}

// An entry holds how much longer the engine expected to be cold when it wrote the entry. Reading
// the same entry again must not extend that time, and a later entry of the same run must not
// shorten it.
func TestRepeatedEntryDoesNotExtendColdTime(t *testing.T) {
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
	assert.Assert(t, dir.Engines()[0].ColdUntil.IsZero(), "a later run, which is warm")
	dir.MarkCold(later, "", func(string) time.Duration { return time.Minute })
	assert.Equal(t, dir.Engines()[0].ColdUntil, later.Add(time.Minute))
	dir.MarkCold(later, "other", func(string) time.Duration { return time.Hour })
	assert.Equal(t, dir.Engines()[0].ColdUntil, later.Add(time.Minute))
}
