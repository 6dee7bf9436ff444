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

// The keys of the configuration on the platform. Parts stand apart, so that
// storing one wakes no watch.
const (
	keyConfigHead = watchedPrefix + "config/head"
	partsPrefix   = "lynxwell-parts/"
)

// changeTries bounds how often a change is tried against racing writers, lost
// replies and short outages; changePause is the wait between.
const (
	changeTries = 20
	changePause = 100 * time.Millisecond
)

// PlatformBehindError reports a platform that serves an older configuration
// than the one in force.
type PlatformBehindError struct {
	Served  uint64
	InForce uint64
}

// Error names both revisions.
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

// partSource fetches a part of a configuration.
type partSource func(ctx context.Context, ref resource.PartRef) ([]byte, error)

func partKey(ref resource.PartRef) string {
	return fmt.Sprintf("%s%d-%s", partsPrefix, ref.Since, ref.Digest)
}

func (hos *Host) partFromPlatform(ctx context.Context, ref resource.PartRef) ([]byte, error) {
	val, err := hos.store.Get(ctx, partKey(ref))
	if err != nil {
		return nil, err
	}
	if val.Revision == 0 {
		return nil, &resource.PartError{Digest: ref.Digest, Reason: "not on the platform"}
	}
	return val.Data, nil
}

// collect returns the head's parts, from memory or from the source.
func (hos *Host) collect(ctx context.Context, hea resource.Head, fetch partSource) (map[string][]byte, error) {
	all := make(map[string][]byte, len(hea.Parts))
	for _, ref := range hea.Parts {
		data, known := hos.parts.get(ref.Digest)
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

// applyHead puts a configuration in force if its revision is higher than the
// one in force. One that can't be applied is refused whole; the host then says
// that it isn't ready.
func (hos *Host) applyHead(ctx context.Context, hea resource.Head, fetch partSource) error {
	if hea.Revision <= hos.Configuration().Revision {
		return nil
	}
	all, err := hos.collect(ctx, hea, fetch)
	if err != nil {
		return err
	}
	con, err := resource.Join(hea, all)
	if err != nil {
		hos.shared.setProblem(fmt.Sprintf("configuration revision %d can't be applied: %v", hea.Revision, err))
		return err
	}
	_, err = ask(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.putInForce(now, hea, con, all)
		return struct{}{}
	})
	return err
}

// putInForce is where revisions only ever go up.
func (lop *loop) putInForce(now time.Time, hea resource.Head, con resource.Configuration, all map[string][]byte) {
	if con.Revision <= lop.host.Configuration().Revision {
		return
	}
	lop.host.parts.keep(all)
	lop.host.shared.config.Store(newInForce(hea, con))
	lop.host.shared.setProblem("")
	lop.applyConfiguration(now, con)
	lop.host.shared.wake()
	lop.host.log.Info().Uint64("Revision", con.Revision).Msg("configuration in force")
}

// Change implements operator.Backend.
func (hos *Host) Change(ctx context.Context, cha resource.Change) (operator.ChangeResult, error) {
	wrc := &writer{host: hos, change: cha}
	var last error
	for range changeTries {
		res, settled, err := wrc.try(ctx)
		if settled {
			return res, err
		}
		last = err
		if !task.Sleep(ctx, changePause) {
			break
		}
	}
	if wrc.uncertain {
		return operator.ChangeResult{}, &operator.NotDecidedError{ChangeID: cha.ID, Cause: last}
	}
	return operator.ChangeResult{}, last
}

// writer brings one change onto the platform.
type writer struct {
	host   *Host
	change resource.Change
	// uncertain is set while a swap of the head may have taken effect unseen.
	uncertain bool
	// created are the parts stored by a try that didn't get through.
	created []resource.PartRef
}

// try makes one attempt; settled is false where another one makes sense.
func (wrc *writer) try(ctx context.Context) (res operator.ChangeResult, settled bool, err error) {
	val, err := wrc.host.store.Get(ctx, keyConfigHead)
	if err != nil {
		return res, false, err
	}
	former, err := parseHead(val.Data)
	if err != nil {
		return res, true, err
	}
	wrc.dropCreated(ctx, former)
	if rev, landed := former.Landed(wrc.change.ID); landed {
		wrc.uncertain = false
		wrc.applied(ctx, former)
		return operator.ChangeResult{Revision: rev}, true, nil
	}
	wrc.uncertain = false
	if inForce := wrc.host.Configuration().Revision; former.Revision < inForce {
		return res, false, &PlatformBehindError{Served: former.Revision, InForce: inForce}
	}
	return wrc.write(ctx, val, former)
}

func (wrc *writer) write(ctx context.Context, val store.Value, former resource.Head) (res operator.ChangeResult, settled bool, err error) {
	all, err := wrc.host.collect(ctx, former, wrc.host.partFromPlatform)
	if err != nil {
		return res, false, err
	}
	con, err := resource.Join(former, all)
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
	hea, parts, err := next.Split(former, wrc.change.ID)
	if err != nil {
		return res, true, err
	}
	if err := wrc.storeParts(ctx, hea, parts); err != nil {
		return res, false, err
	}
	if err := wrc.swap(ctx, val.Revision, hea); err != nil {
		return res, false, err
	}
	wrc.created = nil
	wrc.dropFormer(ctx, former, hea)
	wrc.applied(ctx, hea)
	return operator.ChangeResult{Revision: next.Revision}, true, nil
}

// storeParts stores the parts that are new. One that is there already was
// stored by a former try or by a racing writer of the same content.
func (wrc *writer) storeParts(ctx context.Context, hea resource.Head, parts map[string][]byte) error {
	for _, ref := range hea.Parts {
		if ref.Since != hea.Revision {
			continue
		}
		_, err := wrc.host.store.Put(ctx, store.Write{Key: partKey(ref), Data: parts[ref.Digest]})
		var cer *store.ConflictError
		if err != nil && !errors.As(err, &cer) {
			return err
		}
		wrc.created = append(wrc.created, ref)
	}
	return nil
}

func (wrc *writer) swap(ctx context.Context, expect store.Revision, hea resource.Head) error {
	data, err := json.Marshal(hea)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	_, err = wrc.host.store.Put(ctx, store.Write{Key: keyConfigHead, Data: data, Expect: expect})
	var uer *store.UncertainError
	wrc.uncertain = errors.As(err, &uer)
	return err
}

// applied puts the written configuration in force here; if that fails now, the
// watch brings it.
func (wrc *writer) applied(ctx context.Context, hea resource.Head) {
	if err := wrc.host.applyHead(ctx, hea, wrc.host.partFromPlatform); err != nil {
		wrc.host.log.Warn().Err(err).Uint64("Revision", hea.Revision).Msg("accepted configuration isn't in force here yet")
	}
}

// dropFormer removes the parts that the new head no longer names. What can't
// be removed is only a little waste.
func (wrc *writer) dropFormer(ctx context.Context, former, hea resource.Head) {
	for _, ref := range former.Parts {
		if _, kept := hea.Part(ref.Digest); !kept {
			wrc.drop(ctx, ref)
		}
	}
}

// dropCreated removes the parts of a try that lost against another writer.
func (wrc *writer) dropCreated(ctx context.Context, hea resource.Head) {
	created := wrc.created
	wrc.created = nil
	for _, ref := range created {
		if kept, known := hea.Part(ref.Digest); known && kept == ref {
			continue
		}
		if ref.Since <= hea.Revision {
			wrc.drop(ctx, ref)
		}
	}
}

func (wrc *writer) drop(ctx context.Context, ref resource.PartRef) {
	val, err := wrc.host.store.Get(ctx, partKey(ref))
	if err != nil || val.Revision == 0 {
		return
	}
	if _, err := wrc.host.store.Put(ctx, store.Write{Key: val.Key, Expect: val.Revision, Delete: true}); err != nil {
		wrc.host.log.Debug().Err(err).Str("Key", val.Key).Msg("part not removed")
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
