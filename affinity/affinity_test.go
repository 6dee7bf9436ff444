package affinity_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
)

var (
	start  = time.Unix(5000, 0)
	first  = affinity.Origin{Service: "menus", Version: "v1"}
	second = affinity.Origin{Service: "menus", Version: "v2"}
)

func batch(ori affinity.Origin, keep time.Duration, streams ...affinity.Stream) affinity.Batch {
	return affinity.Batch{Origin: ori, KeepFor: keep, Streams: streams}
}

// A stream is named by its account, so that another account's clients learn nothing of it.
func TestStreamsOfAccountsDiffer(t *testing.T) {
	assert.Equal(t, affinity.StreamOf("a", "id"), affinity.StreamOf("a", "id"))
	assert.Assert(t, affinity.StreamOf("a", "id") != affinity.StreamOf("b", "id"))
	assert.Equal(t, affinity.StreamOf("a", ""), affinity.Stream(0))
}

func TestStreamIsKeptForItsTime(t *testing.T) {
	reg := affinity.New()
	reg.Record(start, batch(first, 10*time.Second, 1, 0))
	reg.Record(start.Add(time.Second), batch(second, time.Second, 1))
	ori, known := reg.Origin(start.Add(10*time.Second), 1)
	assert.Assert(t, known && ori == second, "a later record replaces the origin and doesn't shorten the time")
	reg.Expire(start.Add(12 * time.Second))
	_, known = reg.Origin(start.Add(12*time.Second), 1)
	assert.Assert(t, !known)
	assert.Equal(t, reg.Len(), 0)
}

func TestRegistryIsBounded(t *testing.T) {
	reg := affinity.New()
	reg.Record(start, batch(first, time.Second, 1, 2))
	dropped := 0
	for num := range affinity.MaxStreams {
		dropped += reg.Record(start, batch(second, time.Minute, affinity.Stream(num+10)))
	}
	assert.Equal(t, dropped, 2)
	assert.Equal(t, reg.Len(), affinity.MaxStreams)
	_, known := reg.Origin(start, 1)
	assert.Assert(t, !known, "the stream that is due soonest is dropped")
}

// A registry that gets the batches of another one knows the same streams.
func TestBatchesCarryAllStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reg, other := affinity.New(), affinity.New()
		now := start
		origins := make(map[affinity.Stream]affinity.Origin)
		for range rapid.IntRange(0, 40).Draw(rt, "records") {
			str := affinity.Stream(rapid.Uint64Range(1, 20).Draw(rt, "stream"))
			origins[str] = affinity.Origin{Service: "s", Version: fmt.Sprint(rapid.IntRange(1, 3).Draw(rt, "version"))}
			reg.Record(now, batch(origins[str], time.Minute, str))
			now = now.Add(100 * time.Millisecond)
		}
		for _, bat := range reg.Batches(now) {
			assert.Assert(rt, len(bat.Streams) <= affinity.MaxBatch)
			other.Record(now, bat)
		}
		assert.Equal(rt, other.Len(), len(origins))
		for str, want := range origins {
			got, known := other.Origin(now, str)
			assert.Assert(rt, known && got == want)
		}
	})
}

// What a history has seen itself says nothing of the time before its first observation; a record of the store does.
func TestSoleVersion(t *testing.T) {
	after := func(seconds time.Duration) time.Time { return start.Add(seconds * time.Second) }
	his := affinity.NewHistory()
	his.Confirm(start)
	_, sole := his.Sole(start, "menus", time.Minute)
	assert.Assert(t, !sole, "nothing is known")
	his.Apply(start, affinity.Record{Number: 1, Era: 7}, 0)
	for second := range time.Duration(60) {
		his.Confirm(after(second))
	}
	his.Observe(start, "menus", []string{"v1"})
	his.Observe(after(10), "menus", []string{"v2"})
	_, sole = his.Sole(after(20), "menus", time.Minute)
	assert.Assert(t, !sole)
	_, sole = his.Sole(after(24), "menus", 25*time.Second)
	assert.Assert(t, !sole, "a version of before the first observation may have begun the stream")
	version, sole := his.Sole(after(26), "menus", 17*time.Second)
	assert.Assert(t, sole && version == "v2")
	his.Apply(after(26), affinity.Record{Number: 2, Versions: map[string][]string{"menus": {"v0", "v2"}}}, 0)
	his.Observe(after(46), "menus", []string{"v2"})
	_, sole = his.Sole(after(46), "menus", 15*time.Second)
	assert.Assert(t, !sole, "the record names v0")
	his.Apply(after(47), affinity.Record{Number: 3, Versions: map[string][]string{"menus": {"v2"}}}, 0)
	version, sole = his.Sole(after(47), "menus", 15*time.Second)
	assert.Assert(t, sole && version == "v2")
	his.Apply(after(48), affinity.Record{Number: 3, Versions: map[string][]string{"menus": {"v2"}}}, 1)
	_, sole = his.Sole(after(48), "menus", time.Minute)
	assert.Assert(t, !sole, "the store was restored from a copy, and may have lost versions")
}

// A record names the versions that serve, and those that have served within the life of a stream.
func TestNextRecord(t *testing.T) {
	his := affinity.NewHistory()
	his.ObserveLife(42 * time.Second)
	_, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone, "no version is known")
	his.Observe(start, "menus", []string{"v2", "v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.DeepEqual(t, rec, affinity.Record{Number: 1, Life: 50 * time.Second, Versions: map[string][]string{"menus": {"v1", "v2"}}})
	his.Apply(start, rec, 0)
	// The life of a stream, and twice the time by which what hosts know may be old.
	now := start.Add(50*time.Second + 2*affinity.OpenAfter)
	his.Observe(now, "menus", []string{"v2"})
	_, change = his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone)
	now = now.Add(time.Second)
	his.Observe(now, "menus", []string{"v2"})
	rec, change = his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeReduces)
	assert.DeepEqual(t, rec.Versions, map[string][]string{"menus": {"v2"}})
	his.Interrupt(now)
	_, change = his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone, "v1 may have served unseen")
	fresh := affinity.NewHistory()
	fresh.Apply(now, affinity.Record{Number: 7, Life: 50 * time.Second, Versions: map[string][]string{"menus": {"v1", "v2"}}}, 0)
	fresh.Observe(now, "menus", []string{"v2"})
	_, change = fresh.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone, "v1 may have served until this history began")
}

// Guards against a conclusion from the first record after one that another writer has damaged: it may lack versions.
func TestRecordAfterALostOneIsIncomplete(t *testing.T) {
	his := affinity.NewHistory()
	his.LoseRecord()
	his.Observe(start, "menus", []string{"v2"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v2"}})
	his.Apply(start, rec, 0)
	for second := range time.Duration(32) {
		now := start.Add(second * time.Second)
		his.Confirm(now)
		_, sole := his.Sole(now, "menus", 30*time.Second)
		assert.Equal(t, sole, second >= 30, "after %d s", second)
	}
	his.Observe(start.Add(31*time.Second), "menus", []string{"v2"})
	rec, _ = his.Next(start.Add(31*time.Second), 0, 0)
	assert.Equal(t, rec.Era, uint64(0), "complete from now on")
}

// Guards against origins that the store lacks for good, and against all being written each time.
func TestRegistryKnowsWhatTheStoreHas(t *testing.T) {
	reg := affinity.New()
	all := func(string) bool { return true }
	count := func() int {
		streams := 0
		for _, bat := range reg.Unstored(start, all) {
			streams += len(bat.Streams)
		}
		return streams
	}
	reg.Record(start, batch(first, time.Minute, 1, 2, 3))
	assert.Equal(t, count(), 3)
	assert.Equal(t, len(reg.Unstored(start, func(string) bool { return false })), 0)
	reg.RecordStored(start, batch(first, time.Minute, 2, 4))
	assert.Equal(t, count(), 2)
	reg.Record(start, batch(first, 2*time.Minute, 2))
	assert.Equal(t, count(), 2, "the store still has it")
	reg.Record(start, batch(second, time.Minute, 4))
	assert.Equal(t, count(), 3, "the store has another origin")
	reg.ForgetStored()
	assert.Equal(t, count(), 4)
	reg.Expire(start.Add(3 * time.Minute))
	assert.Equal(t, reg.Len(), 0)
}

// Guards against waiting for hosts of before in a store that has never had a record, and against not waiting for others.
func TestFirstHostWaitsForRegisteredHostsOnly(t *testing.T) {
	rds := affinity.NewReaders()
	rds.Found(start)
	rds.SetRegistered(start, []request.Epoch{1, 2})
	rds.Learned(start, 1, 2)
	assert.Equal(t, rds.KnownToAll(start), uint64(0), "the second host may have an earlier record")
	rds.Learned(start, 2, 2)
	assert.Equal(t, rds.KnownToAll(start), uint64(2))
	rds.Restart(start)
	assert.Equal(t, rds.KnownToAll(start), uint64(0))
}
