package platformtest_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
)

// fixture is a store under test with its underlying memory and its simulated time.
type fixture struct {
	store  store.Store
	memory *platformtest.Memory
	now    *time.Time
}

// eachStore runs the test against the in-memory store and against a client of it over HTTP.
func eachStore(t *testing.T, test func(t *testing.T, fix fixture)) {
	t.Helper()
	newMemory := func() (*platformtest.Memory, *time.Time) {
		now := time.Unix(1000, 0)
		return platformtest.NewMemory(platformtest.MemoryConfig{Now: func() time.Time { return now }, HostsLag: time.Second}), &now
	}
	t.Run("Memory", func(t *testing.T) {
		mem, now := newMemory()
		test(t, fixture{mem, mem, now})
	})
	t.Run("Client", func(t *testing.T) {
		mem, now := newMemory()
		srv := httptest.NewServer(platformtest.NewServer(mem).Handler())
		t.Cleanup(srv.Close)
		cli := platform.NewClient(platform.ClientConfig{Address: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))})
		t.Cleanup(cli.Close)
		test(t, fixture{store.NewRecorder(cli), mem, now})
	})
}

func TestCompareAndSwap(t *testing.T) {
	eachStore(t, func(t *testing.T, fix fixture) {
		ctx := t.Context()
		val, err := fix.store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, val.Revision, store.Revision(0))
		rev, err := fix.store.Put(ctx, store.Write{Key: "k", Data: []byte("one")})
		assert.NilError(t, err)
		_, err = fix.store.Put(ctx, store.Write{Key: "k", Data: []byte("two")})
		var cer *store.ConflictError
		assert.Assert(t, errors.As(err, &cer))
		assert.DeepEqual(t, cer, &store.ConflictError{Key: "k", Actual: rev})
		_, err = fix.store.Put(ctx, store.Write{Key: "k", Data: []byte("two"), Expect: rev})
		assert.NilError(t, err)
		values, _, err := fix.store.List(ctx, "")
		assert.NilError(t, err)
		assert.Equal(t, len(values), 1)
		assert.Equal(t, string(values[0].Data), "two")
		_, err = fix.store.Put(ctx, store.Write{Key: "k", Expect: values[0].Revision, Delete: true})
		assert.NilError(t, err)
		val, err = fix.store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, val.Revision, store.Revision(0))
	})
}

func TestExpiredLeaseRemovesItsKeys(t *testing.T) {
	eachStore(t, func(t *testing.T, fix fixture) {
		ctx := t.Context()
		id, err := fix.store.GrantLease(ctx, 10*time.Second)
		assert.NilError(t, err)
		_, err = fix.store.Put(ctx, store.Write{Key: "k", Data: []byte("v"), Lease: id})
		assert.NilError(t, err)
		*fix.now = fix.now.Add(8 * time.Second)
		assert.NilError(t, fix.store.RenewLease(ctx, id))
		*fix.now = fix.now.Add(8 * time.Second)
		val, err := fix.store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(val.Data), "v")
		*fix.now = fix.now.Add(3 * time.Second)
		var ler *store.LeaseError
		assert.Assert(t, errors.As(fix.store.RenewLease(ctx, id), &ler))
		assert.Equal(t, ler.Lease, id)
		val, err = fix.store.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, val.Revision, store.Revision(0))
	})
}

func TestWatchReturnsOnChange(t *testing.T) {
	eachStore(t, func(t *testing.T, fix fixture) {
		ctx := t.Context()
		woken := make(chan error, 1)
		go func() {
			_, err := fix.store.Watch(ctx, "a/", 0, 20*time.Second)
			woken <- err
		}()
		_, err := fix.store.Put(ctx, store.Write{Key: "b/1"})
		assert.NilError(t, err)
		_, err = fix.store.Put(ctx, store.Write{Key: "a/1"})
		assert.NilError(t, err)
		assert.NilError(t, <-woken)
	})
}

func TestHostListLags(t *testing.T) {
	eachStore(t, func(t *testing.T, fix fixture) {
		fix.memory.SetHost("e", &store.HostState{Name: "e", Kind: store.HostBackend, Leaving: true})
		hosts, err := fix.store.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(hosts), 0)
		*fix.now = fix.now.Add(time.Second)
		hosts, err = fix.store.Hosts(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, hosts, []store.HostState{{Name: "e", Kind: store.HostBackend, Leaving: true}})
	})
}

func TestFaultsGiveTypedErrors(t *testing.T) {
	calls := map[string]func(ctx context.Context, sto store.Store) error{
		"Get":  func(ctx context.Context, sto store.Store) error { _, err := sto.Get(ctx, "k"); return err },
		"List": func(ctx context.Context, sto store.Store) error { _, _, err := sto.List(ctx, ""); return err },
		"Put": func(ctx context.Context, sto store.Store) error {
			_, err := sto.Put(ctx, store.Write{Key: "k"})
			return err
		},
		"Watch": func(ctx context.Context, sto store.Store) error {
			_, err := sto.Watch(ctx, "", 0, time.Second)
			return err
		},
		"GrantLease": func(ctx context.Context, sto store.Store) error {
			_, err := sto.GrantLease(ctx, time.Second)
			return err
		},
		"RenewLease": func(ctx context.Context, sto store.Store) error { return sto.RenewLease(ctx, store.LeaseID{Number: 1}) },
		"Hosts":      func(ctx context.Context, sto store.Store) error { _, err := sto.Hosts(ctx); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			eachStore(t, func(t *testing.T, fix fixture) {
				fix.memory.SetFaults(platformtest.Faults{Down: true})
				var uer *store.UnavailableError
				assert.Assert(t, errors.As(call(t.Context(), fix.store), &uer))
				fix.memory.SetFaults(platformtest.Faults{CallsPerSecond: 0.5})
				var rer *store.RateError
				assert.Assert(t, errors.As(call(t.Context(), fix.store), &rer))
				assert.Assert(t, rer.RetryAfter > 0)
			})
		})
	}
}

// A write whose reply is lost takes effect, and the writer must get a
// *store.UncertainError.
func TestLostReplyIsUncertain(t *testing.T) {
	eachStore(t, func(t *testing.T, fix fixture) {
		fix.memory.SetFaults(platformtest.Faults{LoseReplies: 1})
		_, err := fix.store.Put(t.Context(), store.Write{Key: "k", Data: []byte("v")})
		var uer *store.UncertainError
		assert.Assert(t, errors.As(err, &uer), "%v", err)
		val, err := fix.store.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, string(val.Data), "v")
	})
}

func TestReadOnlyRejectsWrites(t *testing.T) {
	sto := store.NewReadOnly(platformtest.NewMemory(platformtest.MemoryConfig{}))
	var rer *store.ReadOnlyError
	_, err := sto.Put(t.Context(), store.Write{Key: "k"})
	assert.Assert(t, errors.As(err, &rer))
	_, err = sto.Get(t.Context(), "k")
	assert.NilError(t, err)
}
