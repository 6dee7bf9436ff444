package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

// requestTemplates holds one request for each route that visitors use.
var requestTemplates = []visitor.Request{
	{Path: "/unsafe/", Kind: route.KindUnsafe},
	{Path: "/safe/", Kind: route.KindSafe},
	{Path: "/stream/", Kind: route.KindStreaming, PromptTokens: 100, MaxTokens: 50},
	{Path: "/resume/", Kind: route.KindStreaming, Resumable: true, PromptTokens: 100, MaxTokens: 50},
}

// sentRequest is a request with its result.
type sentRequest struct {
	request visitor.Request
	result  visitor.Result
}

// startVisitors starts visitors that send requests until the context is done. The returned
// channel delivers all requests with their results.
func (sys *system) startVisitors(ctx context.Context, seed uint64) <-chan []sentRequest {
	var directories []netip.AddrPort
	for _, hos := range sys.hosts {
		directories = append(directories, hos.set.DirectoryAddress)
	}
	perVisitor := make(chan []sentRequest)
	for num := range visitorCount {
		random := rand.New(rand.NewPCG(seed, uint64(num)+2))
		vis := visitor.New(visitor.Config{
			Directories: directories, HostName: entrytest.HostName, Domain: "d0", Prefix: fmt.Sprintf("s%d-v%d", seed, num), Random: random,
			KeepAlive: num%2 == 0, ExceedsTTL: num%3 == 0,
		})
		go func() {
			defer vis.Close()
			perVisitor <- sendRequests(ctx, vis, random)
		}()
	}
	all := make(chan []sentRequest, 1)
	go func() {
		var sent []sentRequest
		for range visitorCount {
			sent = append(sent, <-perVisitor...)
		}
		all <- sent
	}()
	return all
}

const (
	// One of slowUploads requests with a body pauses for slowUploadPause within it.
	slowUploads        = 40
	slowUploadPause    = 1500 * time.Millisecond
	slowUploadDeadline = 7 * time.Second
)

func sendRequests(ctx context.Context, vis *visitor.Client, random *rand.Rand) []sentRequest {
	var sent []sentRequest
	for ctx.Err() == nil {
		req := requestTemplates[random.IntN(len(requestTemplates))]
		req.Key = entrytest.Key
		if random.IntN(4) == 0 {
			req.Key = spareKey
		}
		req.Deadline, req.MaxRetries = 2*time.Second, 1
		if req.PromptTokens > 0 {
			req.Parts = []call.Part{{ID: soundPart, Tokens: 40}, {ID: uint64(time.Now().UnixNano()), Tokens: 60}}
		}
		if random.IntN(2) == 0 {
			req.Body = strings.Repeat("x", random.IntN(40_000))
		}
		if len(req.Body)%slowUploads == 1 {
			// A host that is told to stop meanwhile may not be able to wait for the answer.
			req.BodyPause, req.Deadline = slowUploadPause, slowUploadDeadline
		}
		// The end of the context does not cancel a request, so that its outcome is known.
		sent = append(sent, sentRequest{request: req, result: vis.Send(context.WithoutCancel(ctx), req)})
	}
	return sent
}

const (
	// retireBound is the time after which a retired engine receives no requests. It allows for
	// every fault that may delay a host meanwhile.
	retireBound = 6 * time.Second
	// revokeBound is the time after which a revoked key is no longer accepted.
	revokeBound = 5 * time.Second
)

// checkResults compares the answers that clients received with the requests that engines ran.
func (sys *system) checkResults(sent []sentRequest) {
	sys.t.Helper()
	runs := make(map[string][]upstreamtest.Run)
	crashed := 0
	for _, eng := range sys.engines {
		if eng.hasCrashed() {
			// The engine's records of its runs are lost with the process.
			crashed++
			continue
		}
		for _, run := range sys.runs(eng) {
			runs[run.ID] = append(runs[run.ID], run)
			if !eng.retiredAt.IsZero() && run.At.After(eng.retiredAt.Add(retireBound)) {
				sys.t.Errorf("engine %s ran %s %s after it was retired", eng.id, run.ID, run.At.Sub(eng.retiredAt))
			}
		}
	}
	sentIDs := make(map[string]bool)
	served := 0
	for _, snd := range sent {
		for _, att := range snd.result.Attempts {
			sentIDs[att.ID] = true
			sys.checkAttempt(snd.request, att, runs[att.ID])
		}
		if snd.result.Last().Served() {
			served++
		}
	}
	sys.checkVersions(sent)
	sys.checkSignals(sent)
	sys.checkEvacuations()
	sys.t.Logf("%d engines crashed on the poison request", crashed)
	limit := maxCrashes
	if sys.badPart {
		limit = maxPartCrashes
	}
	if crashed > limit {
		sys.t.Errorf("the poison request crashed %d engines, which is more than allowed", crashed)
	}
	for id := range runs {
		_, limited := sys.limitedIDs[id]
		assert.Check(sys.t, limited || sentIDs[id], "an engine ran %s, which no visitor sent", id)
	}
	sys.t.Logf("%d of %d requests served", served, len(sent))
}

func (sys *system) checkAttempt(req visitor.Request, att visitor.Attempt, runs []upstreamtest.Run) {
	sys.t.Helper()
	atMostOnce := req.Kind == route.KindUnsafe || (req.Kind == route.KindStreaming && !req.Resumable)
	if atMostOnce && len(runs) > 1 {
		sys.t.Errorf("%s (%s) ran %d times, allowed at most once", att.ID, req.Path, len(runs))
	}
	if atMostOnce && att.GuaranteesNotRun() && len(runs) > 0 {
		sys.t.Errorf("%s (%s) got status %d, which guarantees that the request did not run, but it ran", att.ID, req.Path, att.Status)
	}
	if len(runs) > 2 {
		sys.t.Errorf("%s ran %d times, allowed at most 2", att.ID, len(runs))
	}
	want := upstreamtest.PlainBody(att.ID)
	if req.Kind == route.KindStreaming {
		want = sys.wanted(att.ID, string(att.LastEvent))
	}
	if att.Served() && att.Body != want {
		sys.t.Errorf("%s (%s) got %q as a complete answer, which differs from the expected answer", att.ID, req.Path, att.Body)
	}
	if att.Status == 200 && !strings.HasPrefix(want, att.Body) {
		sys.t.Errorf("%s (%s) got %q, which is no prefix of the expected answer", att.ID, req.Path, att.Body)
	}
	sys.mutex.Lock()
	revokedAt := sys.revokedAt[req.Key]
	sys.mutex.Unlock()
	for _, run := range runs {
		if !revokedAt.IsZero() && run.At.After(revokedAt.Add(revokeBound)) {
			sys.t.Errorf("%s ran %s after its key was revoked", att.ID, run.At.Sub(revokedAt))
		}
		if run.Account != entrytest.Account || run.Key != "" {
			sys.t.Errorf("%s ran for account %q with key %q; an engine must not receive the key", att.ID, run.Account, run.Key)
		}
	}
}

// finalRequests is the number of requests per template that each host must serve after the faults
// are cleared.
const finalRequests = 3

// checkServing checks that every host serves finalRequests requests of each template. It runs
// after the faults are cleared.
func (sys *system) checkServing(seed uint64) {
	sys.t.Helper()
	for num, hos := range sys.hosts {
		vis := visitor.New(visitor.Config{
			Directories: []netip.AddrPort{hos.set.DirectoryAddress}, HostName: entrytest.HostName,
			Prefix: fmt.Sprintf("s%d-last%d", seed, num), Random: rand.New(rand.NewPCG(seed, 99)),
		})
		for _, req := range requestTemplates {
			req.Key, req.Deadline, req.MaxRetries = entrytest.Key, 3*time.Second, 3
			for range finalRequests {
				res := vis.Send(sys.t.Context(), req)
				if att := res.Last(); !att.Served() {
					sys.t.Errorf("after the faults were cleared, %s by %s got status %d, error %v: %s", req.Path, hos.set.Name, att.Status, att.Err, att.Body)
				}
			}
		}
		vis.Close()
	}
}
