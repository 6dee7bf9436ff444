package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
)

func TestMissingEntriesAreKeptUntilTheHoldEnds(t *testing.T) {
	now := time.Unix(100, 0)
	dir := fleet.NewDirectory()
	dir.SetEngine(now, fleet.Engine{ID: fleet.EngineID{Name: "a"}})
	dir.SetEngine(now, fleet.Engine{ID: fleet.EngineID{Name: "b"}})
	dir.SetMember(fleet.Member{Name: "h", Epoch: 1})
	dir.HoldRemovals(now.Add(2 * time.Second))
	dir.Replace(now, nil, nil)
	assert.Equal(t, len(dir.Engines()), 2)
	assert.Equal(t, len(dir.Members()), 1)
	assert.Equal(t, len(dir.RegisteredMembers()), 0)
	assert.Assert(t, dir.IsMissing("h") && !dir.IsMissing("other"))
	dir.SetEngine(now, fleet.Engine{ID: fleet.EngineID{Name: "a"}, Slots: 3})
	assert.Assert(t, !dir.DropMissing(now.Add(time.Second)))
	assert.Assert(t, dir.DropMissing(now.Add(2*time.Second)))
	assert.Equal(t, len(dir.Engines()), 1)
	assert.Equal(t, dir.Engines()[0].Slots, 3)
	assert.Equal(t, len(dir.Members()), 0)
}

func TestRemovalsApplyImmediatelyWithoutAHold(t *testing.T) {
	now := time.Unix(100, 0)
	dir := fleet.NewDirectory()
	dir.SetEngine(now, fleet.Engine{ID: fleet.EngineID{Name: "a"}})
	dir.RemoveEngine(now, "a")
	dir.RemoveEngine(now, "never known")
	assert.Equal(t, len(dir.Engines()), 0)
}

func TestMembersAreSortedByCapacityAndName(t *testing.T) {
	dir := fleet.NewDirectory()
	dir.SetMember(fleet.Member{Name: "young", Epoch: 9})
	dir.SetMember(fleet.Member{Name: "old", Epoch: 3})
	dir.SetMember(fleet.Member{Name: "old", Epoch: 12})
	dir.SetMember(fleet.Member{Name: "middle", Epoch: 10})
	dir.SetMember(fleet.Member{Name: "zero", Epoch: 11, Capacity: 2})
	var names []string
	for _, mem := range dir.Members() {
		names = append(names, mem.Name)
	}
	assert.DeepEqual(t, names, []string{"zero", "middle", "old", "young"})
	_, known := dir.Member(3)
	assert.Assert(t, !known)
}
