package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/visitor"
)

const (
	// maxEnded is how many engines one caller's request may end in a play: three until it
	// is known, and as many again where hosts are killed, frozen and cut off before what
	// one of them knows has come to another or to the store.
	maxEnded = 6
	// culpritPause is the time between two tries of that caller.
	culpritPause = 200 * time.Millisecond
)

// endEngines has a caller send a request that ends engines, again and again, until the
// context ends.
func (sys *system) endEngines(ctx context.Context, seed uint64) <-chan struct{} {
	var directories []netip.AddrPort
	for _, hos := range sys.hosts {
		directories = append(directories, hos.set.DirectoryAddress)
	}
	vis := visitor.New(visitor.Config{
		Directories: directories, HostName: entrytest.HostName, Domain: "d0", Prefix: fmt.Sprintf("s%d-culprit", seed), Random: rand.New(rand.NewPCG(seed, 77)),
	})
	req := visitor.Request{Path: "/stream/", Kind: route.KindStreaming, PromptTokens: 100, MaxTokens: 50, Key: entrytest.Key, Body: entrytest.PoisonBody, Deadline: 2 * time.Second}
	end := make(chan struct{})
	go func() {
		defer close(end)
		defer vis.Close()
		tick := time.NewTicker(culpritPause)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				vis.Send(context.WithoutCancel(ctx), req)
			case <-ctx.Done():
				return
			}
		}
	}()
	return end
}

// replaceEnded has another engine come for each that has ended; the entries of those that
// ended lapse.
func (sys *system) replaceEnded() {
	for _, eng := range sys.engines {
		if !eng.hasEnded() || eng.replaced {
			continue
		}
		eng.replaced = true
		if eng.leftAt.IsZero() {
			sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Delete: true, Blind: true})
		}
		sys.addEngine(fmt.Sprintf("%s-%d", eng.id, len(sys.engines)), eng.service)
	}
}
