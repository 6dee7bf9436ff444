package affinity_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
)

// Guards against a host that has just started and writes a record of its own over a damaged one that others know: no stream
// begins until its versions open.
func TestDamagedRecordIsLeftToHostsThatKnowIt(t *testing.T) {
	starting, writes := affinity.Turn{Coordinates: true, IsLost: true, Lacks: true}.Wait()
	assert.Assert(t, writes, "the record is written although no host may know it")
	for name, knowing := range map[string]affinity.Turn{
		"coordinator": {Coordinates: true, IsLost: true, Knows: true},
		"other host":  {IsLost: true, Knows: true},
	} {
		wait, restores := knowing.Wait()
		assert.Assert(t, restores, name)
		assert.Assert(t, wait+affinity.MaxDelay < starting, "%s waits for %s, one that knows no record for %s", name, wait, starting)
	}
}

// Guards against records that are never written, and against several hosts that write at once.
func TestTurnToWriteTheRecord(t *testing.T) {
	coordinator, _ := affinity.Turn{Coordinates: true, Lacks: true}.Wait()
	other, writes := affinity.Turn{Lacks: true}.Wait()
	assert.Assert(t, writes && other > coordinator, "the others write later than the coordinator")
	_, writes = affinity.Turn{Knows: true}.Wait()
	assert.Assert(t, !writes, "another host has nothing to write")
	wait, writes := affinity.Turn{Coordinates: true, Knows: true}.Wait()
	assert.Assert(t, writes && wait == 0, "the coordinator opens versions and takes them out, whatever the record lacks")
}
