package affinity_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
)

// Guards against a conclusion from a record that the store has lost: a host that was cut off confirmed its own old one by a
// copy with an unreadable one, or none, while streams of a version lived that only the lost one named.
func TestLostRecordIsNotConfirmed(t *testing.T) {
	for name, older := range map[string]affinity.Record{"none that can be read": {}, "begun anew": recordOf(2, []string{"v1"})} {
		t.Run(name, func(t *testing.T) {
			his := affinity.NewHistory()
			his.Observe(start, "menus", []string{"v1"})
			his.Apply(start, recordOf(5, []string{"v1"}), 0)
			his.Confirm(start)
			his.FindOlder(start.Add(time.Second), older)
			his.Confirm(start.Add(time.Second))
			_, sole := his.Sole(start.Add(affinity.MaxSoleAge), "menus", time.Second)
			assert.Assert(t, sole, "while no stream can have begun at another one, streams go on")
			later := start.Add(affinity.MaxSoleAge + 1)
			his.Confirm(later)
			_, sole = his.Sole(later, "menus", time.Second)
			assert.Assert(t, !sole, "the lost record may have named another version")
			restored := his.Restore(later)
			assert.Equal(t, restored.Era, affinity.NoEra, "a newer record may have been lost")
			his.Apply(later, restored, 0)
			his.Confirm(later)
			_, sole = his.Sole(later, "menus", time.Second)
			assert.Assert(t, !sole, "the host's own record may lack a version")
		})
	}
}

// Guards against streams of a sole version that are refused because the record was lost, and against a record that is written
// again without the versions of the one that was begun anew.
func TestLostRecordIsRestoredWithWhatWasBegunAnew(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	his.Apply(start, recordOf(5, []string{"v1"}), 0)
	his.Confirm(start)
	his.FindOlder(start.Add(time.Second), affinity.Record{})
	his.Apply(start.Add(time.Second), his.Restore(start.Add(time.Second)), 0)
	his.Confirm(start.Add(time.Second))
	version, sole := his.Sole(start.Add(time.Second), "menus", 30*time.Second)
	assert.Assert(t, sole && version == "v1", "the host has missed nothing")
	his.FindOlder(start.Add(time.Second), recordOf(2, []string{"v2"}))
	restored := his.Restore(start.Add(time.Second))
	assert.DeepEqual(t, restored.Versions["menus"], []string{"v1", "v2"})
	assert.Assert(t, restored.Number > his.Record().Number)
}

// Guards against a version that opens by reports of a record that the store has lost: their numbers are of other records.
func TestReportOfLostRecordOpensNothing(t *testing.T) {
	his := affinity.NewHistory()
	his.LoseRecord()
	his.Observe(start, "menus", []string{"v1"})
	his.Confirm(start)
	rec, _ := his.Next(start, 0, 0)
	his.Apply(start, rec, 0)
	his.ObserveReport(9)
	rec, change := his.Next(start, 0, 9)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Assert(t, rec.IsAnnounced("menus", "v1"))
	assert.Assert(t, rec.Number > 9+1, "hosts that know the lost record see that they have missed changes")
	assert.Equal(t, rec.Era, affinity.NoEra, "it may lack what the lost record names")
	opened, _ := his.Next(start.Add(affinity.OpenAfter), 0, 9)
	assert.Assert(t, !opened.IsAnnounced("menus", "v1"))
}

// Guards against a record that counts as complete without a version whose streams live: a host took over one that another
// host had begun anew, and had seen more than it names; or it had followed the store for too short a time.
func TestRecordIsCompleteWithAllThatWasSeen(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1", "v2"})
	his.Confirm(start)
	now := start
	for range 35 {
		now = now.Add(time.Second)
		his.Observe(now, "menus", []string{"v2"})
		his.Confirm(now)
	}
	begun := recordOf(1, []string{"v2"})
	begun.Era = affinity.NoEra
	his.Apply(now, begun, 0)
	rec, change := his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, rec.Era, uint64(0))
	assert.DeepEqual(t, rec.Versions["menus"], []string{"v1", "v2"})
	_, change = his.Next(now.Add(affinity.MaxSoleAge+1), 0, 0)
	assert.Equal(t, change, affinity.ChangeNone, "the host may have missed a version since")
}
