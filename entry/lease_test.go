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

// The lease renewals of all hosts together stay within a bound that doesn't grow with the
// number of hosts, as far as the maximum lease time allows it.
func TestLeaseRenewalRateIsBounded(t *testing.T) {
	assert.Equal(t, renewInterval(0), time.Second)
	assert.Equal(t, renewInterval(7), time.Second)
	for _, hosts := range []int{30, 87, 295} {
		rate := float64(hosts) / renewInterval(hosts).Seconds()
		assert.Assert(t, rate <= fleetRenewalsPerSecond+1, "%d hosts renew %.0f times a second", hosts, rate)
	}
	assert.Equal(t, renewInterval(5000), maxRenew)
}

// A lease lasts for three renewal intervals, whatever the fleet's size. A host that knows no other
// host may be one of many that start at once, so its lease has the maximum duration.
func TestLeaseTimeFitsFleetSize(t *testing.T) {
	for _, hosts := range []int{2, 7, 63, 295, 5000} {
		assert.Equal(t, leaseDuration(hosts), 3*renewInterval(hosts))
	}
	assert.Equal(t, leaseDuration(0), 3*maxRenew)
	assert.Equal(t, leaseDuration(1), 3*maxRenew)
	assert.Assert(t, needsNewLease(leaseDuration(0), leaseDuration(7)))
	assert.Assert(t, needsNewLease(leaseDuration(7), leaseDuration(295)))
	assert.Assert(t, !needsNewLease(leaseDuration(0), leaseDuration(295)))
	assert.Assert(t, !needsNewLease(leaseDuration(90), leaseDuration(63)))
}

// Guards against calls that grow with the hosts when all renew at once: a renewal in a restored store takes two
// calls, and the store bears 200 a second. The leases must not expire meanwhile.
func TestRenewalsAfterOutageAreSpread(t *testing.T) {
	const callsPerSecond, callsEach = 200, 2
	for _, hosts := range []int{7, 63, 295} {
		spread := renewalSpread(hosts)
		assert.Assert(t, float64(hosts*callsEach)/spread.Seconds() <= callsPerSecond, "%d hosts within %s", hosts, spread)
		assert.Assert(t, renewInterval(hosts)+spread < leaseDuration(hosts))
	}
}

// A host that rarely renews its lease renews it when its own entry is deleted, since the lease may
// have expired.
func TestLeaseIsCheckedWhenOwnEntryIsDeleted(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "self"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	wat := newStoreWatcher(hos)
	wat.directory.SetMember(fleet.Member{Name: "self"})
	wat.directory.SetMember(fleet.Member{Name: "other"})
	deletion := func(name string) store.Change {
		return store.Change{Value: store.Value{Key: platform.MemberKey(name)}, Deleted: true}
	}
	wat.applyChange(deletion("other"))
	assert.Equal(t, len(hos.renewalRequests), 0)
	wat.applyChange(deletion("self"))
	assert.Equal(t, len(hos.renewalRequests), 1)
}
