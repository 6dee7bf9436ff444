package affinity_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
)

// recordOf returns a record that names versions of the service menus, and announces some of them.
func recordOf(number uint64, versions []string, announced ...string) affinity.Record {
	rec := affinity.Record{Number: number, Life: 30 * time.Second, Versions: map[string][]string{"menus": versions}}
	if len(announced) > 0 {
		rec.Announced = map[string][]string{"menus": announced}
	}
	return rec
}

// Guards against streams that begin at a version while a host may still take another one for the only one: a version that
// joins is announced first, and opened once all hosts know of it or conclude nothing any more.
func TestVersionIsAnnouncedBeforeItOpens(t *testing.T) {
	his := affinity.NewHistory()
	his.Confirm(start)
	his.Observe(start, "menus", []string{"v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Assert(t, rec.Announced == nil, "no host concludes anything without a record")
	his.Apply(start, rec, 0)
	his.Observe(start, "menus", []string{"v1", "v2"})
	rec, _ = his.Next(start, 0, 0)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v2"}})
	his.Apply(start, rec, 0)
	assert.Assert(t, his.IsOpen("menus", "v1") && !his.IsOpen("menus", "v2"))
	_, sole := his.Sole(start, "menus", time.Second)
	assert.Assert(t, !sole, "v2 may open at any moment")
	_, change = his.Next(start, 0, rec.Number-1)
	assert.Equal(t, change, affinity.ChangeNone, "a host doesn't know of it")
	next, change := his.Next(start, 0, rec.Number)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, len(next.Announced), 0, "all hosts know of it")
	late := start.Add(affinity.OpenAfter)
	_, change = his.Next(late.Add(-1), 0, 0)
	assert.Equal(t, change, affinity.ChangeNone)
	next, change = his.Next(late, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, len(next.Announced), 0, "who doesn't know of it concludes nothing")
	_, change = his.Next(late, 1, 0)
	assert.Equal(t, change, affinity.ChangeNone, "hosts may confirm an earlier record of a restored store")
}

// Guards against a conclusion from a copy of the store that wasn't confirmed for long, or from one with a gap.
func TestSoleNeedsCurrentRecord(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	his.Apply(start, recordOf(3, []string{"v1"}), 0)
	_, sole := his.Sole(start, "menus", time.Second)
	assert.Assert(t, !sole, "never confirmed")
	his.Confirm(start)
	_, sole = his.Sole(start.Add(affinity.MaxSoleAge), "menus", time.Second)
	assert.Assert(t, sole)
	_, sole = his.Sole(start.Add(affinity.MaxSoleAge+1), "menus", time.Second)
	assert.Assert(t, !sole)
	his.Apply(start, recordOf(3, []string{"v1"}), 1)
	later := start.Add(affinity.MaxSoleAge + time.Second)
	his.Confirm(later)
	_, sole = his.Sole(later, "menus", 2*time.Second)
	assert.Assert(t, !sole, "a version that the restored store has lost may have served unseen")
}

// Guards against a version that opens by the time of an earlier announcement: a host that has missed its opening, its
// removal and its second announcement took the second one for the first.
func TestSecondAnnouncementCountsAnew(t *testing.T) {
	his := affinity.NewHistory()
	his.Apply(start, recordOf(3, []string{"v1", "v2"}, "v2"), 0)
	later := start.Add(time.Minute)
	his.Apply(later, recordOf(6, []string{"v1", "v2"}, "v2"), 0)
	his.Observe(later, "menus", []string{"v1", "v2"})
	rec, _ := his.Next(later, 0, 5)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v2"}})
}

// Guards against a conclusion from a record that names less than the store's, while the store hasn't taken it: other hosts
// begin streams at what was taken out.
func TestReducedRecordConcludesNothingUntilStored(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1", "v2"})
	his.Apply(start, recordOf(3, []string{"v1", "v2"}), 0)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		his.Observe(now, "menus", []string{"v1"})
		his.Confirm(now)
	}
	rec, change := his.Next(now, 0, 3)
	assert.Equal(t, change, affinity.ChangeReduces)
	his.Reduce(now, rec, 0)
	_, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, !sole)
	his.Apply(now, rec, 0)
	version, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, sole && version == "v1")
}

// Guards against a conclusion about one service while the store has neither its reduction nor a later one of another service.
func TestSecondReducedRecordConcludesNothingOfTheFirst(t *testing.T) {
	his, now, both := affinity.NewHistory(), start, []string{"v1", "v2"}
	rec := recordOf(3, both)
	rec.Versions["maps"] = both
	his.Apply(now, rec, 0)
	for _, maps := range [][]string{both, {"v1"}} {
		for range 60 {
			now = now.Add(time.Second)
			his.Observe(now, "menus", []string{"v1"})
			his.Observe(now, "maps", maps)
			his.Confirm(now)
		}
		next, change := his.Next(now, 0, 3)
		assert.Equal(t, change, affinity.ChangeReduces)
		his.Reduce(now, next, 0)
	}
	_, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, !sole)
	his.Apply(now, his.Record(), 0)
	version, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, sole && version == "v1")
}

// Guards against a first record that opens its versions in a restored store: other hosts may conclude from an earlier one.
func TestFirstRecordOfRestoredStoreAnnounces(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	rec, _ := his.Next(start, 1, 0)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v1"}})
}

// Guards against a version that opens before a host knows of it that isn't registered any more, or whose registration was
// missed.
func TestReadersKnowTheOldestRecord(t *testing.T) {
	const one, two request.Epoch = 1, 2
	after := start.Add
	rds := affinity.NewReaders()
	rds.Confirm(start)
	rds.SetRegistered(start, []request.Epoch{one, two})
	rds.Learned(start, one, 7)
	rds.Learned(start, two, 5)
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter-1)), uint64(0), "a host that was deregistered before may live")
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter)), uint64(5))
	rds.Learned(after(affinity.OpenAfter), two, 4)
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter)), uint64(5), "reports may overtake one another")
	rds.SetRegistered(after(affinity.OpenAfter), []request.Epoch{one})
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter-1)), uint64(5), "a deregistered host concludes on")
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter)), uint64(7))
	rds.Confirm(after(2 * affinity.OpenAfter))
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter)), uint64(0), "a registration may have been missed")
	rds.SetRegistered(after(3*affinity.OpenAfter), []request.Epoch{one, 3})
	assert.Equal(t, rds.KnownToAll(after(3*affinity.OpenAfter)), uint64(0), "a host that has just registered")
}

// Guards against a site that begins no streams for seconds after its start: a first record without versions, of hosts that
// started before the engines, made the engines' version one that joins.
func TestFirstRecordNamesVersions(t *testing.T) {
	his := affinity.NewHistory()
	his.ObserveLife(time.Minute)
	_, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone)
	his.Observe(start, "menus", []string{"v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	his.Apply(start, rec, 0)
	assert.Assert(t, his.IsOpen("menus", "v1"))
}
