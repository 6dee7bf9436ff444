package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

const (
	// rewriteTimeout bounds the rewriting of a value that the restored store lacks, and rewriteRetry is the time
	// after which it is tried again.
	rewriteTimeout = time.Second
	rewriteRetry   = 500 * time.Millisecond
)

// rewrites are the hosts' own values that a restored store lacks, until the coordinator has written them again.
type rewrites struct {
	host  *Host
	mutex sync.Mutex
	due   map[string]store.Write
	// wake wakes run.
	wake chan struct{}
}

func newRewrites(hos *Host) *rewrites {
	return &rewrites{host: hos, due: make(map[string]store.Write), wake: make(chan struct{}, 1)}
}

func (rew *rewrites) set(writes []store.Write) {
	rew.mutex.Lock()
	defer rew.mutex.Unlock()
	clear(rew.due)
	for _, wri := range writes {
		rew.due[wri.Key] = wri
	}
	select {
	case rew.wake <- struct{}{}:
	default:
	}
}

// drop drops the rewriting of a key that has been written since.
func (rew *rewrites) drop(key string) {
	rew.mutex.Lock()
	defer rew.mutex.Unlock()
	delete(rew.due, key)
}

func (rew *rewrites) list() []store.Write {
	rew.mutex.Lock()
	defer rew.mutex.Unlock()
	var writes []store.Write
	for _, wri := range rew.due {
		writes = append(writes, wri)
	}
	slices.SortFunc(writes, func(one, two store.Write) int { return cmp.Compare(one.Key, two.Key) })
	return writes
}

// run writes what is due while this host is the coordinator, until the context ends.
func (rew *rewrites) run(ctx context.Context) error {
	for {
		select {
		case <-rew.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(rew.list()) > 0 {
			if rew.host.broker.coordinates() {
				rew.writeAll(ctx)
			}
			if !task.Sleep(ctx, rewriteRetry) {
				return ctx.Err()
			}
		}
	}
}

func (rew *rewrites) writeAll(ctx context.Context) {
	for _, wri := range rew.list() {
		callCtx, cancel := context.WithTimeout(ctx, rewriteTimeout)
		rev, err := rew.host.store.Put(callCtx, wri)
		cancel()
		rew.host.log.Info().Err(err).Str("Key", wri.Key).Bool("Delete", wri.Delete).Uint64("Expected", wri.Expect.Number()).
			Uint64("Era", uint64(rev.Era())).Uint64("Revision", rev.Number()).Msg("value that the restored store lacks written again")
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			rew.drop(wri.Key)
		}
	}
}
