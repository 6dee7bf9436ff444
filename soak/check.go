package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

// kinds are the routes that visitors use.
var kinds = []visitor.Request{
	{Path: "/unsafe/", Kind: route.KindUnsafe},
	{Path: "/safe/", Kind: route.KindSafe},
	{Path: "/stream/", Kind: route.KindStreaming, PromptTokens: 100, MaxTokens: 50},
	{Path: "/resume/", Kind: route.KindStreaming, Resumable: true, PromptTokens: 100, MaxTokens: 50},
}

// sending is a request with what came of it.
type sending struct {
	request visitor.Request
	result  visitor.Result
}

// visit has visitors send requests until the context ends.
func (sys *system) visit(ctx context.Context, seed uint64) <-chan []sending {
	var directories []netip.AddrPort
	for _, hos := range sys.hosts {
		directories = append(directories, hos.set.DirectoryAddress)
	}
	each := make(chan []sending)
	for num := range visitors {
		random := rand.New(rand.NewPCG(seed, uint64(num)+2))
		vis := visitor.New(visitor.Config{
			Directories: directories, HostName: entrytest.HostName, Domain: "d0", Prefix: fmt.Sprintf("s%d-v%d", seed, num), Random: random,
			KeepsConnections: num%2 == 0, KeepsLonger: num%3 == 0,
		})
		go func() {
			defer vis.Close()
			each <- sendAll(ctx, vis, random)
		}()
	}
	all := make(chan []sending, 1)
	go func() {
		var sent []sending
		for range visitors {
			sent = append(sent, <-each...)
		}
		all <- sent
	}()
	return all
}

func sendAll(ctx context.Context, vis *visitor.Visitor, random *rand.Rand) []sending {
	var sent []sending
	for ctx.Err() == nil {
		req := kinds[random.IntN(len(kinds))]
		req.Key = entrytest.Key
		if random.IntN(4) == 0 {
			req.Key = spareKey
		}
		req.Deadline, req.Retries = 2*time.Second, 1
		if random.IntN(2) == 0 {
			req.Body = strings.Repeat("x", random.IntN(40_000))
		}
		// A request that has begun is carried through, so that its fate is known.
		sent = append(sent, sending{request: req, result: vis.Send(context.WithoutCancel(ctx), req)})
	}
	return sent
}

const (
	// leaveBound is after what time an engine that left gets nothing any more,
	// with all that may hold a host up meanwhile.
	leaveBound = 6 * time.Second
	// revokeBound is after what time a key that was taken away opens nothing.
	revokeBound = 5 * time.Second
)

// check holds what callers saw against what engines ran.
func (sys *system) check(sent []sending) {
	sys.t.Helper()
	runs := make(map[string][]upstreamtest.Run)
	ended := 0
	for _, eng := range sys.engines {
		if eng.hasEnded() {
			// What it ran is lost with it.
			ended++
			continue
		}
		for _, run := range sys.runs(eng) {
			runs[run.ID] = append(runs[run.ID], run)
			if !eng.leftAt.IsZero() && run.At.After(eng.leftAt.Add(leaveBound)) {
				sys.t.Errorf("engine %s ran %s %s after it left", eng.id, run.ID, run.At.Sub(eng.leftAt))
			}
		}
	}
	known := make(map[string]bool)
	served := 0
	for _, snd := range sent {
		for _, att := range snd.result.Attempts {
			known[att.ID] = true
			sys.checkAttempt(snd.request, att, runs[att.ID])
		}
		if snd.result.Last().Served() {
			served++
		}
	}
	sys.checkWords(sent)
	sys.checkPlaces()
	sys.t.Logf("%d engines ended under one caller's request", ended)
	if ended > maxEnded {
		sys.t.Errorf("one caller's request ended %d engines", ended)
	}
	for id := range runs {
		assert.Check(sys.t, known[id], "an engine ran %s, which nobody sent", id)
	}
	sys.t.Logf("%d of %d requests served", served, len(sent))
}

func (sys *system) checkAttempt(req visitor.Request, att visitor.Attempt, runs []upstreamtest.Run) {
	sys.t.Helper()
	once := req.Kind == route.KindUnsafe || (req.Kind == route.KindStreaming && !req.Resumable)
	if once && len(runs) > 1 {
		sys.t.Errorf("%s (%s) ran %d times", att.ID, req.Path, len(runs))
	}
	if once && att.Promised() && len(runs) > 0 {
		sys.t.Errorf("%s (%s) got %d, yet it ran", att.ID, req.Path, att.Status)
	}
	if len(runs) > 2 {
		sys.t.Errorf("%s ran on %d engines, two are allowed", att.ID, len(runs))
	}
	want := upstreamtest.PlainBody(att.ID)
	if req.Kind == route.KindStreaming {
		want = upstreamtest.StreamBody(att.ID, events)
	}
	if att.Served() && att.Body != want {
		sys.t.Errorf("%s (%s) got %q as a whole answer", att.ID, req.Path, att.Body)
	}
	if att.Status == 200 && !strings.HasPrefix(want, att.Body) {
		sys.t.Errorf("%s (%s) got %q", att.ID, req.Path, att.Body)
	}
	sys.mutex.Lock()
	revoked := sys.revoked[req.Key]
	sys.mutex.Unlock()
	for _, run := range runs {
		if !revoked.IsZero() && run.At.After(revoked.Add(revokeBound)) {
			sys.t.Errorf("%s ran %s after its key was taken away", att.ID, run.At.Sub(revoked))
		}
		if run.Account != entrytest.Account || run.Key != "" {
			sys.t.Errorf("%s ran for %q with key %q", att.ID, run.Account, run.Key)
		}
	}
}

// lastRequests is how many requests of each kind must be served in the end.
const lastRequests = 3

// serves checks that nothing of the faults is left over.
func (sys *system) serves(seed uint64) {
	sys.t.Helper()
	for num, hos := range sys.hosts {
		vis := visitor.New(visitor.Config{
			Directories: []netip.AddrPort{hos.set.DirectoryAddress}, HostName: entrytest.HostName,
			Prefix: fmt.Sprintf("s%d-last%d", seed, num), Random: rand.New(rand.NewPCG(seed, 99)),
		})
		for _, req := range kinds {
			req.Key, req.Deadline, req.Retries = entrytest.Key, 3*time.Second, 3
			for range lastRequests {
				res := vis.Send(sys.t.Context(), req)
				if att := res.Last(); !att.Served() {
					sys.t.Errorf("in the end, %s by %s got %d, %v: %s", req.Path, hos.set.Name, att.Status, att.Err, att.Body)
				}
			}
		}
		vis.Close()
	}
}
