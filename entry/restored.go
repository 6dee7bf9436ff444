package entry

import (
	"cmp"
	"time"

	"lynxwell.dev/lynxwell/mirror"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reconcile"
	"lynxwell.dev/lynxwell/store"
)

const (
	// restoreGrace is how long after a restoration of the store newer knowledge stays in force. Owners write
	// theirs again within about two seconds, and an entry without an owner ends after three heartbeats.
	restoreGrace = 5 * time.Second
	// relayedRestoreSlack is how much later a host that reads through another one reads all keys again.
	relayedRestoreSlack = time.Second
)

// reconcile returns the values that are in force after a complete read. For restoreGrace after a restoration of
// the store, these are what the read and this host's knowledge together show.
func (wat *storeWatcher) reconcile(values []store.Value, rev store.Revision) []store.Value {
	now := wat.host.clock.Now()
	if wat.revision != 0 && rev.Era() > wat.revision.Era() {
		wat.recordRestoration(now, rev)
	}
	if !wat.inRestoreGrace(now) {
		wat.knowledge.Replace(values, rev)
		return values
	}
	merged, writes := wat.knowledge.Merge(values, restorePolicy, compareValues)
	wat.host.rewrites.set(writes)
	wat.host.log.Info().Int("Read", len(values)).Int("InForce", len(merged)).Int("ToWrite", len(writes)).Uint64("Era", uint64(rev.Era())).
		Uint64("Revision", rev.Number()).Dur("Age", now.Sub(wat.restoredAt)).Msg("restored store merged with what was known")
	return merged
}

// recordRestoration records that the store was restored from a copy: entries that it lacks are held as after an
// outage. This host registers again under a lease of the new era at its next renewal, or soon if its own entry is
// missing.
func (wat *storeWatcher) recordRestoration(now time.Time, rev store.Revision) {
	wat.host.metrics.count("StoreRestored")
	wat.host.log.Warn().Uint64("Era", uint64(rev.Era())).Uint64("Revision", rev.Number()).Uint64("FormerEra", uint64(wat.revision.Era())).
		Uint64("FormerRevision", wat.revision.Number()).Msg("store was restored from a copy")
	wat.host.learnStoreEra(rev.Era())
	wat.restoredAt = now
	wat.rereadAt = now.Add(restoreGrace)
	if wat.readThroughHost() {
		wat.rereadAt = wat.rereadAt.Add(relayedRestoreSlack)
	}
	wat.directory.HoldRemovals(now.Add(mirror.ExpiryHold))
}

// inRestoreGrace reports whether newer knowledge stays in force after a restoration.
func (wat *storeWatcher) inRestoreGrace(now time.Time) bool {
	return now.Before(wat.rereadAt)
}

// rereadIfDue makes the next update a complete read once the grace after a restoration has ended.
func (wat *storeWatcher) rereadIfDue() {
	if wat.rereadAt.IsZero() || wat.inRestoreGrace(wat.host.clock.Now()) {
		return
	}
	wat.rereadAt = time.Time{}
	wat.needsFullRead = true
}

// recordChange records a change that was read.
func (wat *storeWatcher) recordChange(cha store.Change) {
	wat.host.rewrites.drop(cha.Key)
	if cha.Deleted {
		wat.knowledge.Remove(cha.Key, cha.Revision)
		return
	}
	wat.knowledge.Set(cha.Value)
}

// restorePolicy returns what happens to a key that a restored store lacks or has in an older version.
func restorePolicy(key string) reconcile.Policy {
	switch kind, _ := platform.ParseKey(key); kind {
	case platform.KeyEngine, platform.KeyMember:
		return reconcile.PolicyOwner
	case platform.KeyConfiguration, platform.KeyRolloutOrder:
		return reconcile.PolicyKeep
	case platform.KeyEvacuation:
		return reconcile.PolicyEither
	case platform.KeyMeasurements, platform.KeyRing, platform.KeyRolloutState, platform.KeyLedger, platform.KeyHolds, platform.KeyLimitShares, platform.KeyVersions, platform.KeyEvacuationState:
		return reconcile.PolicyRewrite
	case platform.KeyOrigins, platform.KeyOther:
		return reconcile.PolicyListed
	default:
		return reconcile.PolicyListed
	}
}

// compareValues compares two values of a key by the versions that their writers give them.
func compareValues(known, listed store.Value) (int, bool) {
	switch kind, _ := platform.ParseKey(known.Key); kind {
	case platform.KeyEngine:
		one, oneErr := platform.DecodeEngine(known)
		two, twoErr := platform.DecodeEngine(listed)
		switch {
		case oneErr != nil || twoErr != nil:
			return 0, false
		case one.ID.Follows(two.ID):
			return 1, true
		case two.ID.Follows(one.ID):
			return -1, true
		}
		return cmp.Compare(one.Sequence, two.Sequence), true
	case platform.KeyConfiguration:
		one, oneErr := platform.DecodeConfiguration(known.Data)
		two, twoErr := platform.DecodeConfiguration(listed.Data)
		return cmp.Compare(one.Version, two.Version), oneErr == nil && twoErr == nil
	case platform.KeyLimitShares:
		one, oneErr := platform.DecodeLimitShares(known)
		two, twoErr := platform.DecodeLimitShares(listed)
		return cmp.Compare(one.Version, two.Version), oneErr == nil && twoErr == nil
	case platform.KeyVersions:
		one, oneErr := platform.DecodeVersions(known)
		two, twoErr := platform.DecodeVersions(listed)
		return cmp.Compare(one.Number, two.Number), oneErr == nil && twoErr == nil
	case platform.KeyMember:
		one, oneErr := platform.DecodeMember(known)
		two, twoErr := platform.DecodeMember(listed)
		return cmp.Compare(one.Epoch, two.Epoch), oneErr == nil && twoErr == nil
	default:
		return 0, false
	}
}
