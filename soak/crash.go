package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/visitor"
)

const (
	// maxCrashes bounds the engines that the poison request may crash in a run: three until the
	// request is identified, and three more if hosts are killed, frozen or partitioned before one
	// of them has reported the crashes to another host or to the store.
	maxCrashes = 6
	// maxPartCrashes is the same for the bad part: five until it is known, and three more.
	maxPartCrashes = 8
	// badPart is the part of prompts that crashes engines, soundPart one that most prompts share.
	badPart   = 0xbad
	soundPart = 0x50
	// poisonInterval is the interval at which the poison request is sent.
	poisonInterval = 200 * time.Millisecond
)

// startPoisonVisitor starts a visitor that sends the poison request, whose body crashes engines,
// every poisonInterval until the context is done, or requests with a bad part that all differ. The returned channel is
// closed when the visitor has stopped.
func (sys *system) startPoisonVisitor(ctx context.Context, cfg Config) <-chan struct{} {
	seed := cfg.Seed
	var directories []netip.AddrPort
	for _, hos := range sys.hosts {
		directories = append(directories, hos.set.DirectoryAddress)
	}
	vis := visitor.New(visitor.Config{
		Directories: directories, HostName: entrytest.HostName, Domain: "d0", Prefix: fmt.Sprintf("s%d-culprit", seed), Random: rand.New(rand.NewPCG(seed, 77)),
	})
	req := visitor.Request{Path: "/stream/", Kind: route.KindStreaming, PromptTokens: 100, MaxTokens: 50, Key: entrytest.Key, Body: entrytest.PoisonBody, Deadline: 2 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer vis.Close()
		tick := time.NewTicker(poisonInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if cfg.BadPart {
					req.Body = fmt.Sprint("week ", time.Now().UnixNano())
					req.Parts = []call.Part{{ID: soundPart, Tokens: 40}, {ID: badPart, Tokens: 20}, {ID: uint64(time.Now().UnixNano()), Tokens: 40}}
				}
				vis.Send(context.WithoutCancel(ctx), req)
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopped
}

// replaceCrashed deletes the store entry of each crashed engine and starts another engine in
// its place.
func (sys *system) replaceCrashed() {
	for _, eng := range sys.engines {
		if !eng.hasCrashed() || eng.replaced {
			continue
		}
		eng.replaced = true
		if eng.retiredAt.IsZero() {
			sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Delete: true, Blind: true})
		}
		sys.addEngine(fmt.Sprintf("%s-%d", eng.id, len(sys.engines)), eng.service)
	}
}
