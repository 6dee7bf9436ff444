package host

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// The configuration's keys on the platform. Chunks are stored outside watchedPrefix, so
// that storing one triggers no watch.
const (
	keyConfigHead = watchedPrefix + "config/head"
	chunksPrefix  = "lynxwell-parts/"
)

// maxChangeAttempts bounds the attempts to write a change despite concurrent writers, lost
// replies and short outages. changeRetryDelay is the wait between attempts.
const (
	maxChangeAttempts = 20
	changeRetryDelay  = 100 * time.Millisecond
)

// PlatformBehindError reports that the platform stores an older configuration than the
// active one, for example after a restore from a backup.
type PlatformBehindError struct {
	Served  uint64
	InForce uint64
}

// Error returns both revisions.
func (per *PlatformBehindError) Error() string {
	return fmt.Sprintf("the platform serves configuration revision %d, but %d is in force", per.Served, per.InForce)
}

// Configuration implements caller.Backend and operator.Backend.
func (hos *Host) Configuration() resource.Configuration {
	return hos.shared.config.Load().configuration
}

// Account implements caller.Backend.
func (hos *Host) Account(digest string) (resource.ClientAccount, bool) {
	acc, known := hos.shared.config.Load().accounts[digest]
	return acc, known
}

// chunkSource fetches one chunk of a stored configuration. A chunk is the JSON of a group of
// resources and is identified by its SHA-256 digest.
type chunkSource func(ctx context.Context, ref resource.ChunkRef) ([]byte, error)

func chunkKey(ref resource.ChunkRef) string {
	return fmt.Sprintf("%s%d-%s", chunksPrefix, ref.Since, ref.Digest)
}

func (hos *Host) chunkFromPlatform(ctx context.Context, ref resource.ChunkRef) ([]byte, error) {
	val, err := hos.store.Get(ctx, chunkKey(ref))
	if err != nil {
		return nil, err
	}
	if val.Revision == 0 {
		return nil, &resource.ChunkError{Digest: ref.Digest, Reason: "not on the platform"}
	}
	return val.Data, nil
}

// collectChunks returns the chunks that the head refers to, by digest. Those that
// aren't in the cache are fetched.
func (hos *Host) collectChunks(ctx context.Context, hea resource.Head, fetch chunkSource) (map[string][]byte, error) {
	all := make(map[string][]byte, len(hea.Chunks))
	for _, ref := range hea.Chunks {
		data, known := hos.chunks.get(ref.Digest)
		if !known {
			var err error
			if data, err = fetch(ctx, ref); err != nil {
				return nil, err
			}
		}
		all[ref.Digest] = data
	}
	return all, nil
}

// applyHead activates the configuration of the head if its revision is higher than the active
// one. If the configuration is invalid, the active one stays, and the host reports that it
// isn't ready.
func (hos *Host) applyHead(ctx context.Context, hea resource.Head, fetch chunkSource) error {
	if hea.Revision <= hos.Configuration().Revision {
		return nil
	}
	all, err := hos.collectChunks(ctx, hea, fetch)
	if err != nil {
		return err
	}
	con, err := resource.Join(hea, all)
	if err != nil {
		hos.shared.setProblem(fmt.Sprintf("configuration revision %d can't be applied: %v", hea.Revision, err))
		return err
	}
	_, err = callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.activateConfiguration(now, hea, con, all)
		return struct{}{}
	})
	return err
}

// activateConfiguration makes a configuration the active one, unless the active one has the
// same or a higher revision.
func (lop *loop) activateConfiguration(now time.Time, hea resource.Head, con resource.Configuration, all map[string][]byte) {
	if con.Revision <= lop.host.Configuration().Revision {
		return
	}
	lop.host.chunks.replace(all)
	lop.host.shared.config.Store(newActiveConfig(hea, con))
	lop.host.shared.setProblem("")
	lop.deliverConfiguration(now, con)
	lop.host.shared.notify()
	lop.host.log.Info().Uint64("Revision", con.Revision).Msg("configuration active")
}

// Change implements operator.Backend.
func (hos *Host) Change(ctx context.Context, cha resource.Change) (operator.ChangeResult, error) {
	wrc := &writer{host: hos, change: cha}
	var last error
	for range maxChangeAttempts {
		res, settled, err := wrc.try(ctx)
		if settled {
			return res, err
		}
		last = err
		if !task.Sleep(ctx, changeRetryDelay) {
			break
		}
	}
	if wrc.uncertain {
		return operator.ChangeResult{}, &operator.NotDecidedError{ChangeID: cha.ID, Cause: last}
	}
	return operator.ChangeResult{}, last
}

// writer writes one change to the platform, in one or more attempts.
type writer struct {
	host   *Host
	change resource.Change
	// uncertain is set if the reply to the most recent write of the head was lost, so that
	// the write may have taken effect.
	uncertain bool
	// created are the chunks that the previous attempt stored without confirming that its
	// head was written.
	created []resource.ChunkRef
}

// try makes one attempt. It returns settled as false if another attempt may succeed.
func (wrc *writer) try(ctx context.Context) (res operator.ChangeResult, settled bool, err error) {
	val, err := wrc.host.store.Get(ctx, keyConfigHead)
	if err != nil {
		return res, false, err
	}
	current, err := parseHead(val.Data)
	if err != nil {
		return res, true, err
	}
	wrc.dropUnusedChunks(ctx, current)
	if rev, written := current.ChangeRevision(wrc.change.ID); written {
		wrc.uncertain = false
		wrc.activate(ctx, current)
		return operator.ChangeResult{Revision: rev}, true, nil
	}
	wrc.uncertain = false
	if active := wrc.host.Configuration().Revision; current.Revision < active {
		return res, false, &PlatformBehindError{Served: current.Revision, InForce: active}
	}
	return wrc.write(ctx, val, current)
}

// write applies the change to the stored configuration and replaces the stored head.
func (wrc *writer) write(ctx context.Context, val store.Value, current resource.Head) (res operator.ChangeResult, settled bool, err error) {
	all, err := wrc.host.collectChunks(ctx, current, wrc.host.chunkFromPlatform)
	if err != nil {
		return res, false, err
	}
	con, err := resource.Join(current, all)
	if err != nil {
		return res, true, err
	}
	next, err := con.With(wrc.change)
	if err != nil {
		return res, true, err
	}
	if next.Revision == con.Revision {
		return operator.ChangeResult{Revision: con.Revision, Unchanged: true}, true, nil
	}
	hea, chunks, err := next.Split(current, wrc.change.ID)
	if err != nil {
		return res, true, err
	}
	if err := wrc.storeChunks(ctx, hea, chunks); err != nil {
		return res, false, err
	}
	if err := wrc.swapHead(ctx, val.Revision, hea); err != nil {
		return res, false, err
	}
	wrc.created = nil
	wrc.dropUnreferenced(ctx, current, hea)
	wrc.activate(ctx, hea)
	return operator.ChangeResult{Revision: next.Revision}, true, nil
}

// storeChunks stores the chunks that are new in the head's revision. A chunk that already
// exists was stored by an earlier attempt or by a concurrent writer of the same content.
func (wrc *writer) storeChunks(ctx context.Context, hea resource.Head, chunks map[string][]byte) error {
	for _, ref := range hea.Chunks {
		if ref.Since != hea.Revision {
			continue
		}
		_, err := wrc.host.store.Put(ctx, store.Write{Key: chunkKey(ref), Data: chunks[ref.Digest]})
		var cer *store.ConflictError
		if err != nil && !errors.As(err, &cer) {
			return err
		}
		wrc.created = append(wrc.created, ref)
	}
	return nil
}

// swapHead replaces the stored head if its revision on the platform is still the expected one.
func (wrc *writer) swapHead(ctx context.Context, expect store.Revision, hea resource.Head) error {
	data, err := json.Marshal(hea)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	_, err = wrc.host.store.Put(ctx, store.Write{Key: keyConfigHead, Data: data, Expect: expect})
	var uer *store.UncertainError
	wrc.uncertain = errors.As(err, &uer)
	return err
}

// activate applies the written configuration on this host. If that fails, the host applies
// the configuration when its watch of the platform reports the new head.
func (wrc *writer) activate(ctx context.Context, hea resource.Head) {
	if err := wrc.host.applyHead(ctx, hea, wrc.host.chunkFromPlatform); err != nil {
		wrc.host.log.Warn().Err(err).Uint64("Revision", hea.Revision).Msg("configuration written, but applying it on this host failed; waiting for the watch")
	}
}

// dropUnreferenced deletes the chunks that the new head no longer refers to. A chunk whose
// deletion fails stays stored and has no other effect.
func (wrc *writer) dropUnreferenced(ctx context.Context, current, hea resource.Head) {
	for _, ref := range current.Chunks {
		if _, kept := hea.Chunk(ref.Digest); !kept {
			wrc.dropChunk(ctx, ref)
		}
	}
}

// dropUnusedChunks deletes the chunks of the previous attempt that the stored head doesn't
// refer to. It skips those of a revision that isn't written yet, since a write of the head
// whose reply was lost may still take effect.
func (wrc *writer) dropUnusedChunks(ctx context.Context, hea resource.Head) {
	created := wrc.created
	wrc.created = nil
	for _, ref := range created {
		if kept, known := hea.Chunk(ref.Digest); known && kept == ref {
			continue
		}
		if ref.Since <= hea.Revision {
			wrc.dropChunk(ctx, ref)
		}
	}
}

func (wrc *writer) dropChunk(ctx context.Context, ref resource.ChunkRef) {
	val, err := wrc.host.store.Get(ctx, chunkKey(ref))
	if err != nil || val.Revision == 0 {
		return
	}
	if _, err := wrc.host.store.Put(ctx, store.Write{Key: val.Key, Expect: val.Revision, Delete: true}); err != nil {
		wrc.host.log.Debug().Err(err).Str("Key", val.Key).Msg("deleting an unreferenced configuration chunk failed")
	}
}

func parseHead(data []byte) (resource.Head, error) {
	var hea resource.Head
	if len(data) == 0 {
		return hea, nil
	}
	if err := json.Unmarshal(data, &hea); err != nil {
		return hea, errors.Wrap(err, "decode configuration head")
	}
	return hea, nil
}
