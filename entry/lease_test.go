package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// The renewals of all hosts together stay within a bound that doesn't grow with them,
// as far as a lease bears it.
func TestRenewalsOfALargeFleetStayFew(t *testing.T) {
	assert.Equal(t, renewInterval(0), time.Second)
	assert.Equal(t, renewInterval(7), time.Second)
	for _, hosts := range []int{30, 87, 295} {
		each := float64(hosts) / renewInterval(hosts).Seconds()
		assert.Assert(t, each <= fleetRenewals+1, "%d hosts renew %.0f times a second", hosts, each)
	}
	assert.Equal(t, renewInterval(5000), maxRenew)
}

// A lease lasts for three renewals, whatever the fleet's size; a host that knows
// nothing of the others may be one of many.
func TestLeaseFitsTheFleet(t *testing.T) {
	for _, hosts := range []int{2, 7, 63, 295, 5000} {
		assert.Equal(t, leaseTime(hosts), 3*renewInterval(hosts))
	}
	assert.Equal(t, leaseTime(0), 3*maxRenew)
	assert.Equal(t, leaseTime(1), 3*maxRenew)
	assert.Assert(t, misfits(leaseTime(0), leaseTime(7)))
	assert.Assert(t, misfits(leaseTime(7), leaseTime(295)))
	assert.Assert(t, !misfits(leaseTime(0), leaseTime(295)))
	assert.Assert(t, !misfits(leaseTime(90), leaseTime(63)))
}

// A host that renews its lease seldom learns by its entry that the lease has lapsed.
func TestLeaseIsInDoubtWhenTheOwnEntryIsGone(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "self"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	obs := newObserver(hos)
	obs.directory.SetMember(fleet.Member{Name: "self"})
	obs.directory.SetMember(fleet.Member{Name: "other"})
	gone := func(name string) store.Change {
		return store.Change{Value: store.Value{Key: platform.MemberKey(name)}, Deleted: true}
	}
	obs.take(gone("other"))
	assert.Equal(t, len(hos.leaseDoubt), 0)
	obs.take(gone("self"))
	assert.Equal(t, len(hos.leaseDoubt), 1)
}
