// Package platformtest is a small fake of the platform: an in-memory store into
// which the faults of the real one can be injected, and a server that offers it
// over HTTP.
//
// # Usage
//
//	mem := platformtest.NewMemory(platformtest.MemoryConfig{})
//	srv := platformtest.NewServer(mem)
//	http.Serve(lis, srv.Handler())
//	mem.SetFaults(platformtest.Faults{Down: true})
//
// Memory is itself a store.Store, for tests that don't need a network.
package platformtest

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/store"
)

// MaxValueBytes is the platform's limit on the size of a value.
const MaxValueBytes = 1 << 20

// Faults are the faults that a Memory simulates. The zero value is none.
type Faults struct {
	// Down makes every call fail with a *store.UnavailableError.
	Down bool
	// Silent makes every call hang until its context ends or 4 s have passed, and then fail.
	// Clearing the fault doesn't end calls that already hang.
	Silent bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseReplies is the number of subsequent writes and lease calls that take effect without a
	// reply.
	LoseReplies int
	// CallsPerSecond is the rate limit; 0 is no limit. A limit under 1 rejects every call.
	CallsPerSecond float64
	// UnwritableKey is a key whose writes fail with a *store.UnavailableError; empty for none.
	UnwritableKey string
}

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Now returns the current time; nil is time.Now.
	Now func() time.Time
	// HostsLag is the delay after which a change appears in the host list.
	HostsLag time.Duration
}

// Memory is an in-memory store.Store. It is safe for concurrent use.
type Memory struct {
	cfg    MemoryConfig
	mutex  sync.Mutex
	values map[string]store.Value
	// sorted holds the values by key for pages of a list; nil after each change. It is replaced, never modified.
	sorted []store.Value
	// deleted maps each deleted key to the revision of its deletion.
	deleted  map[string]store.Revision
	revision store.Revision
	// era counts the restorations from a copy.
	era uint64
	// compacted is the revision up to which the history has been dropped.
	compacted store.Revision
	leases    map[store.LeaseID]*lease
	lastID    store.LeaseID
	hosts     map[string]laggedState
	faults    Faults
	// tokens is the number of tokens in the rate limit's bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
	counts     map[string]uint64
	// changed is closed and replaced at each change of the store or of the faults.
	changed chan struct{}
}

// laggedState is an entry of the host list before and after its most recent change; nil means no
// entry.
type laggedState struct {
	before, after *store.HostState
	at            time.Time
}

// errLost is the cause of errors about lost replies.
var errLost = errors.New("reply lost")

// errDown is the cause of errors during an outage.
var errDown = errors.New("platform is down")

// NewMemory returns an empty store.
func NewMemory(cfg MemoryConfig) *Memory {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Memory{
		cfg:     cfg,
		values:  make(map[string]store.Value),
		deleted: make(map[string]store.Revision),
		leases:  make(map[store.LeaseID]*lease),
		hosts:   make(map[string]laggedState),
		counts:  make(map[string]uint64),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the simulated faults.
func (mem *Memory) SetFaults(fau Faults) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.faults = fau
	mem.tokens = fau.CallsPerSecond
	mem.refilledAt = mem.cfg.Now()
	mem.notifyWatchers()
}

// Counts returns the number of calls by kind, including failed ones.
func (mem *Memory) Counts() map[string]uint64 {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return maps.Clone(mem.counts)
}

// SetHost changes or adds an entry of the host list; a nil state removes it. Readers see the
// change after the configured lag.
func (mem *Memory) SetHost(name string, state *store.HostState) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.hosts[name] = laggedState{before: mem.hosts[name].after, after: state, at: mem.cfg.Now()}
}

// beginCall counts a call and applies the rate limit and the faults that precede its effect.
func (mem *Memory) beginCall(ctx context.Context, kind string) error {
	return mem.applyFaults(ctx, kind, true)
}

// applyFaults counts a call and applies the faults that precede its effect, and the rate limit
// if limited is set.
func (mem *Memory) applyFaults(ctx context.Context, kind string, limited bool) error {
	mem.mutex.Lock()
	mem.counts[kind]++
	fau := mem.faults
	wait := time.Duration(0)
	if limited {
		wait = mem.takeToken()
	}
	mem.mutex.Unlock()
	if fau.Down {
		return &store.UnavailableError{Call: kind, Cause: errDown}
	}
	if fau.Silent {
		return waitSilently(ctx, kind)
	}
	if wait > 0 {
		return &store.RateError{RetryAfter: wait}
	}
	if fau.Delay == 0 {
		return nil
	}
	timer := time.NewTimer(fau.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &store.UnavailableError{Call: kind, Cause: ctx.Err()}
	}
}

// maxSilence bounds how long a call hangs, since a server doesn't always detect that its client
// has disconnected.
const maxSilence = 4 * time.Second

// waitSilently blocks until the context ends or maxSilence has passed, and returns a
// *store.UnavailableError.
func waitSilently(ctx context.Context, kind string) error {
	limit := time.NewTimer(maxSilence)
	defer limit.Stop()
	select {
	case <-limit.C:
	case <-ctx.Done():
	}
	return &store.UnavailableError{Call: kind, Cause: errDown}
}

// takeToken takes a token of the rate limit's bucket. If there is none, it returns the time until
// the next one.
func (mem *Memory) takeToken() time.Duration {
	rate := mem.faults.CallsPerSecond
	if rate == 0 {
		return 0
	}
	now := mem.cfg.Now()
	mem.tokens = min(rate, mem.tokens+now.Sub(mem.refilledAt).Seconds()*rate)
	mem.refilledAt = now
	if mem.tokens < 1 {
		return time.Duration((1 - mem.tokens) / rate * float64(time.Second))
	}
	mem.tokens--
	return 0
}

// loseReply returns a *store.UncertainError if the reply of the current call is to be lost.
func (mem *Memory) loseReply(kind string) error {
	if mem.faults.LoseReplies == 0 {
		return nil
	}
	mem.faults.LoseReplies--
	return &store.UncertainError{Call: kind, Cause: errLost}
}

func (mem *Memory) remove(key string) {
	if _, known := mem.values[key]; !known {
		return
	}
	delete(mem.values, key)
	mem.revision++
	mem.deleted[key] = mem.revision
	mem.notifyWatchers()
}

func (mem *Memory) notifyWatchers() {
	mem.sorted = nil
	close(mem.changed)
	mem.changed = make(chan struct{})
}

// Get implements store.Store.
func (mem *Memory) Get(ctx context.Context, key string) (store.Value, error) {
	if err := mem.beginCall(ctx, "Get"); err != nil {
		return store.Value{}, err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	val, known := mem.values[key]
	if !known {
		return store.Value{Key: key}, nil
	}
	return val, nil
}

// List implements store.Store.
func (mem *Memory) List(ctx context.Context, prefix string) ([]store.Value, store.Revision, error) {
	if err := mem.beginCall(ctx, "List"); err != nil {
		return nil, 0, err
	}
	values, rev := mem.list(prefix)
	return values, rev, nil
}

func (mem *Memory) list(prefix string) ([]store.Value, store.Revision) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	if mem.sorted == nil {
		mem.sorted = slices.SortedFunc(maps.Values(mem.values), func(one, two store.Value) int { return cmp.Compare(one.Key, two.Key) })
	}
	first, _ := slices.BinarySearchFunc(mem.sorted, prefix, func(val store.Value, key string) int { return cmp.Compare(val.Key, key) })
	last := first
	for last < len(mem.sorted) && strings.HasPrefix(mem.sorted[last].Key, prefix) {
		last++
	}
	return mem.sorted[first:last:last], mem.revision
}

// ListStale implements store.Store. The rate limit doesn't apply to it.
func (mem *Memory) ListStale(ctx context.Context, prefix string) ([]store.Value, store.Revision, error) {
	if err := mem.applyFaults(ctx, "ListStale", false); err != nil {
		return nil, 0, err
	}
	values, rev := mem.list(prefix)
	return values, rev, nil
}

// Put implements store.Store.
func (mem *Memory) Put(ctx context.Context, wri store.Write) (store.Revision, error) {
	if err := mem.beginCall(ctx, "Put"); err != nil {
		return 0, err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	if wri.Key == mem.faults.UnwritableKey {
		return 0, &store.UnavailableError{Call: "Put", Cause: errDown}
	}
	if err := mem.checkWrite(wri); err != nil {
		return 0, err
	}
	mem.write(wri)
	return mem.revision, mem.loseReply("Put")
}

// Write performs a write regardless of the simulated faults. It simulates operators and engines,
// which reach the store by another path than the hosts.
func (mem *Memory) Write(wri store.Write) error {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	if err := mem.checkWrite(wri); err != nil {
		return err
	}
	mem.write(wri)
	return nil
}

// Peek returns the value of a key regardless of the simulated faults.
func (mem *Memory) Peek(key string) store.Value {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	val, known := mem.values[key]
	if !known {
		return store.Value{Key: key}
	}
	return val
}

func (mem *Memory) write(wri store.Write) {
	if wri.Delete {
		mem.remove(wri.Key)
		return
	}
	mem.revision++
	delete(mem.deleted, wri.Key)
	mem.values[wri.Key] = store.Value{Key: wri.Key, Data: slices.Clone(wri.Data), Revision: mem.revision, Lease: wri.Lease}
	mem.notifyWatchers()
}

func (mem *Memory) checkWrite(wri store.Write) error {
	if len(wri.Data) > MaxValueBytes {
		return errors.Newf("value is %d bytes long, limit is %d bytes", len(wri.Data), MaxValueBytes)
	}
	if !wri.Lease.IsZero() && mem.leases[wri.Lease] == nil {
		return &store.LeaseError{Lease: wri.Lease}
	}
	if actual := mem.values[wri.Key].Revision; !wri.Blind && actual != wri.Expect {
		return &store.ConflictError{Key: wri.Key, Expect: wri.Expect, Actual: actual}
	}
	if actual := mem.values[wri.Absent].Revision; !wri.Blind && wri.Absent != "" && actual != 0 {
		return &store.ConflictError{Key: wri.Absent, Actual: actual}
	}
	return nil
}

// Watch implements store.Store.
func (mem *Memory) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if err := mem.beginCall(ctx, "Watch"); err != nil {
		return store.Changes{}, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		changes, changed, err := mem.changesAfter(prefix, after)
		if err != nil {
			return store.Changes{}, err
		}
		if len(changes.Changes) > 0 {
			return changes, nil
		}
		leaseCheck := time.NewTimer(leaseCheckInterval)
		select {
		case <-changed:
		case <-leaseCheck.C:
		case <-limit.C:
			leaseCheck.Stop()
			return changes, nil
		case <-ctx.Done():
			leaseCheck.Stop()
			return store.Changes{}, &store.UnavailableError{Call: "Watch", Cause: ctx.Err()}
		}
		leaseCheck.Stop()
	}
}

// changesAfter returns the changes under the prefix after the revision, and a channel that is
// closed at the next change of the store.
func (mem *Memory) changesAfter(prefix string, after store.Revision) (store.Changes, <-chan struct{}, error) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	if mem.faults.Down {
		return store.Changes{}, nil, &store.UnavailableError{Call: "Watch", Cause: errDown}
	}
	if after < mem.compacted || after > mem.revision {
		return store.Changes{}, nil, &store.CompactedError{After: after}
	}
	changes := store.Changes{Revision: mem.revision}
	for key, val := range mem.values {
		if val.Revision > after && strings.HasPrefix(key, prefix) {
			changes.Changes = append(changes.Changes, store.Change{Value: val})
		}
	}
	for key, rev := range mem.deleted {
		if rev > after && strings.HasPrefix(key, prefix) {
			changes.Changes = append(changes.Changes, store.Change{Value: store.Value{Key: key, Revision: rev}, Deleted: true})
		}
	}
	slices.SortFunc(changes.Changes, func(one, two store.Change) int { return cmp.Compare(one.Revision, two.Revision) })
	return changes, mem.changed, nil
}

// Compact drops the store's history. Watches from earlier revisions return a
// *store.CompactedError.
func (mem *Memory) Compact() {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.revision++
	mem.compacted = mem.revision
	mem.notifyWatchers()
}

// Hosts implements store.Store.
func (mem *Memory) Hosts(ctx context.Context) ([]store.HostState, error) {
	if err := mem.beginCall(ctx, "Hosts"); err != nil {
		return nil, err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return mem.listHosts(), nil
}

func (mem *Memory) listHosts() []store.HostState {
	var hosts []store.HostState
	for _, lag := range mem.hosts {
		state := lag.after
		if mem.cfg.Now().Sub(lag.at) < mem.cfg.HostsLag {
			state = lag.before
		}
		if state != nil {
			hosts = append(hosts, *state)
		}
	}
	slices.SortFunc(hosts, func(one, two store.HostState) int { return cmp.Compare(one.Name, two.Name) })
	return hosts
}

// backendEntries returns the store entries of the backend servers in the host list whose keys
// have the prefix. On the platform each backend server has such an entry.
func (mem *Memory) backendEntries(prefix string) []store.Value {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	var values []store.Value
	for _, state := range mem.listHosts() {
		key := "servers/" + state.Name
		if state.Kind != store.HostBackend || !strings.HasPrefix(key, prefix) {
			continue
		}
		status := "ready"
		if state.Leaving {
			status = "draining"
		}
		values = append(values, store.Value{Key: key, Data: []byte(`{"service":"plain","address":"127.0.0.1:1","zone":"d0","version":"v1","slots":1,"state":"` + status + `","cold_left_ms":0,"seq":1}`), Revision: max(1, mem.revision)})
	}
	return values
}
