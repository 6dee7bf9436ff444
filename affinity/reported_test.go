package affinity_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
)

// Guards against a host that has just started and takes the record which it begins for the first one, although another host
// knows one that the store has lost.
func TestRecordBegunAfterAReportIsNotTheFirst(t *testing.T) {
	his := affinity.NewHistory()
	assert.Assert(t, !his.IsLost(), "no host has reported a record")
	his.ObserveReport(5)
	assert.Assert(t, his.IsLost())
	his.Observe(start, "menus", []string{"v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Assert(t, rec.IsAnnounced("menus", "v1"), "a host may conclude from the lost record")
	assert.Equal(t, rec.Era, affinity.NoEra, "it may lack what the lost record names")
	assert.Assert(t, rec.Number > 5+1, "hosts that know the lost record see that they have missed changes")
}

// Guards against a host that knows a complete record and goes on to write complete ones, although another host knows a newer
// one that the store has lost.
func TestRecordBehindAReportedOneIsIncomplete(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	his.Confirm(start)
	rec, _ := his.Next(start, 0, 0)
	assert.Equal(t, rec.Era, uint64(0))
	his.Apply(start, rec, 0)
	his.ObserveReport(9)
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, rec.Era, affinity.NoEra)
}

// Guards against a host that takes the store's record for lost because it has itself begun a newer one, and against one that
// takes an older one for its own.
func TestRecordIsLostBelowWhatTheStoreHad(t *testing.T) {
	both := []string{"v1", "v2"}
	for name, tst := range map[string]struct {
		found affinity.Record
		lost  bool
	}{
		"what it had before the reduction": {recordOf(3, both), false},
		"an older one":                     {recordOf(2, both), true},
		"none that can be read":            {affinity.Record{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			his := affinity.NewHistory()
			his.Apply(start, recordOf(3, both), 0)
			his.Reduce(start, recordOf(4, []string{"v1"}), 0)
			his.FindOlder(start, tst.found)
			assert.Equal(t, his.IsLost(), tst.lost)
			his.Apply(start, recordOf(7, both), 0)
			assert.Assert(t, !his.IsLost(), "the store has a newer one")
		})
	}
	his := affinity.NewHistory()
	his.FindOlder(start, affinity.Record{})
	assert.Assert(t, !his.IsLost(), "the host knows no record")
}

// Guards against a restored record that lacks what may have begun streams meanwhile, or for how long they live, and against
// one that hosts take for the lost one.
func TestRestoredRecordHasAllOfBoth(t *testing.T) {
	known := recordOf(5, []string{"v1"})
	begunAnew := recordOf(2, []string{"v2"})
	begunAnew.Life = time.Minute
	for name, tst := range map[string]struct {
		// Seen is a version that served after the newest record, found what the store has instead, and reported the number
		// of another host's record. The record is restored after a time.
		seen     []string
		found    *affinity.Record
		reported uint64
		after    time.Duration
		versions []string
		life     time.Duration
		number   uint64
	}{
		"nothing missing":              {versions: []string{"v1"}, number: 5},
		"a version seen meanwhile":     {seen: []string{"v3"}, versions: []string{"v1", "v3"}, number: 6},
		"lost":                         {found: &affinity.Record{}, versions: []string{"v1"}, number: 7},
		"lost, a version seen":         {found: &affinity.Record{}, seen: []string{"v3"}, versions: []string{"v1", "v3"}, number: 7},
		"lost, a newer one reported":   {found: &affinity.Record{}, reported: 9, versions: []string{"v1"}, number: 11},
		"lost, begun anew":             {found: &begunAnew, versions: []string{"v1", "v2"}, life: time.Minute, number: 7},
		"lost, begun anew long before": {found: &begunAnew, after: time.Minute, versions: []string{"v1", "v2"}, life: time.Minute, number: 7},
	} {
		t.Run(name, func(t *testing.T) {
			his := affinity.NewHistory()
			his.Apply(start, known, 0)
			his.Confirm(start)
			his.Observe(start, "menus", tst.seen)
			his.ObserveReport(tst.reported)
			if tst.found != nil {
				his.FindOlder(start, *tst.found)
			}
			rec := his.Restore(start.Add(tst.after))
			assert.DeepEqual(t, rec.Versions["menus"], tst.versions)
			assert.Equal(t, rec.Life, max(known.Life, tst.life))
			assert.Equal(t, rec.Number, tst.number)
		})
	}
}
