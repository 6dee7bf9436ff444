package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

func matesUpTo(count int) []fleet.Member {
	var mates []fleet.Member
	for idx := range count {
		mates = append(mates, fleet.Member{Epoch: request.Epoch(idx + 1)})
	}
	return mates
}

// Fifty hosts of a failure domain: when those that read the store fail one after the
// other, one host reads for the rest, not each by itself.
func TestNextHostReadsForAllWhenTheFirstFails(t *testing.T) {
	const hosts = 50
	now := time.Unix(100, 0)
	mates := matesUpTo(hosts)
	all := make([]*readers, hosts)
	for idx := range all {
		all[idx] = newReaders(request.Epoch(idx + 1))
	}
	// The first two are lost, in turn.
	for lost := range maxReaders - 1 {
		for _, rea := range all[lost+1:] {
			mem, found := rea.choose(now, mates)
			assert.Assert(t, found)
			assert.Equal(t, mem.Epoch, mates[lost].Epoch)
			rea.fail(now, mem)
		}
		reading := 0
		for _, rea := range all[lost+1:] {
			if _, found := rea.choose(now, mates); !found {
				assert.Assert(t, rea.reads(now, mates))
				reading++
			}
		}
		assert.Equal(t, reading, 1, "the next one reads for all")
	}
	last := all[hosts-1]
	mem, _ := last.choose(now, mates)
	last.fail(now, mem)
	_, found := last.choose(now, mates)
	assert.Assert(t, !found && !last.reads(now, mates), "all that may have failed")
	mem, found = last.choose(now.Add(readerPause), mates)
	assert.Assert(t, found)
	assert.Equal(t, mem.Epoch, mates[0].Epoch, "the first is tried again")
}

func TestFewHostsReadByThemselves(t *testing.T) {
	now := time.Unix(100, 0)
	rea := newReaders(2)
	_, found := rea.choose(now, matesUpTo(followers-1))
	assert.Assert(t, !found && !rea.reads(now, matesUpTo(followers-1)))
	_, found = rea.choose(now, matesUpTo(followers))
	assert.Assert(t, found)
}
