package enginetest_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/request"
)

// fixture is a fake engine with a client.
type fixture struct {
	engine  *enginetest.Engine
	client  *engine.Client
	address netip.AddrPort
}

func newFixture(t *testing.T, cfg enginetest.Config) fixture {
	t.Helper()
	eng := enginetest.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		eng.Run(ctx)
		close(stopped)
	}()
	srv := httptest.NewServer(eng.Handler())
	cli := engine.NewClient(engine.ClientConfig{SilenceTimeout: 300 * time.Millisecond})
	t.Cleanup(func() {
		cli.Close()
		// A frozen engine blocks its clients until the fault is cleared.
		eng.SetFaults(enginetest.Faults{})
		srv.CloseClientConnections()
		srv.Close()
		cancel()
		<-stopped
	})
	return fixture{eng, cli, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
}

var fast = enginetest.Config{Slots: 2, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 2000, EventLag: time.Millisecond, LoadLag: time.Millisecond}

func requestID(unique string) request.ID {
	return request.ID{Prefix: request.Prefix{View: 1, Epoch: 2, Window: 3}, Unique: unique}
}

var messages = []engine.Message{{Role: "system", Content: strings.Repeat("shared ", 50)}, {Role: "user", Content: "is it safe?"}}

func (fix fixture) dispatch(t *testing.T, unique string, tokens int) (engine.Result, string) {
	t.Helper()
	body, err := json.Marshal(engine.ChatRequest{Model: "m", Messages: messages, MaxTokens: tokens, Stream: true})
	assert.NilError(t, err)
	text := ""
	res := fix.client.Dispatch(t.Context(), engine.Dispatch{Address: fix.address, ID: requestID(unique), Body: body}, collect(&text))
	return res, text
}

func collect(text *string) engine.Sink {
	return func(data []byte) {
		var chu engine.Chunk
		if json.Unmarshal(data, &chu) == nil && len(chu.Choices) > 0 {
			*text += chu.Choices[0].Delta.Content
		}
	}
}

func TestDispatchStreamsCompleteAnswer(t *testing.T) {
	fix := newFixture(t, fast)
	res, text := fix.dispatch(t, "one", 5)
	assert.Assert(t, res.Whole && res.Dispatched && res.Answered, "%v", res.Err)
	assert.Equal(t, text, enginetest.Answer(messages, 5))
	assert.Equal(t, res.Usage.CompletionTokens, 5)
	assert.Equal(t, len(fix.engine.Dispatches()), 1)
}

func TestResumeReadsFromOffsetWithoutNewRun(t *testing.T) {
	fix := newFixture(t, fast)
	fix.dispatch(t, "one", 5)
	for _, offset := range []int{0, 2, 5} {
		text := ""
		res := fix.client.Resume(t.Context(), fix.address, requestID("one"), offset, collect(&text))
		assert.Assert(t, res.Whole, "%v", res.Err)
		tokens := strings.SplitAfter(enginetest.Answer(messages, 5), " ")
		assert.Equal(t, text, strings.Join(tokens[offset:], ""))
	}
	res := fix.client.Resume(t.Context(), fix.address, requestID("other"), 0, func([]byte) {})
	assert.Assert(t, res.NotKnown && !res.Whole)
	assert.Equal(t, len(fix.engine.Dispatches()), 1)
}

func TestFaults(t *testing.T) {
	cases := map[string]struct {
		faults     enginetest.Faults
		dispatched bool
		answered   bool
		received   int
	}{
		"DropReplies": {enginetest.Faults{DropReplies: 1}, true, false, 1},
		"Dead":        {enginetest.Faults{Dead: true}, true, false, 0},
		"Frozen":      {enginetest.Faults{Frozen: true}, true, false, 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t, fast)
			fix.engine.SetFaults(cas.faults)
			res, _ := fix.dispatch(t, "one", 5)
			assert.Assert(t, !res.Whole)
			assert.Equal(t, res.Dispatched, cas.dispatched)
			assert.Equal(t, res.Answered, cas.answered)
			assert.Equal(t, len(fix.engine.Dispatches()), cas.received)
		})
	}
}

// Guards against reporting a request as sent, which forbids its retry, when the connection
// could not be established.
func TestUnreachableEngineIsNotDispatched(t *testing.T) {
	fix := newFixture(t, fast)
	fix.address = netip.MustParseAddrPort("127.0.0.1:1")
	res, _ := fix.dispatch(t, "one", 5)
	assert.Assert(t, !res.Dispatched && !res.Answered && !res.Whole)
}

func TestDroppedReplyIsResumed(t *testing.T) {
	fix := newFixture(t, fast)
	fix.engine.SetFaults(enginetest.Faults{DropReplies: 1})
	fix.dispatch(t, "one", 5)
	text := ""
	res := fix.client.Resume(t.Context(), fix.address, requestID("one"), 0, collect(&text))
	assert.Assert(t, res.Whole, "%v", res.Err)
	assert.Equal(t, text, enginetest.Answer(messages, 5))
	assert.Equal(t, len(fix.engine.Dispatches()), 1)
}

func TestCancelledStreamIsIncomplete(t *testing.T) {
	slow := fast
	slow.DecodeTokensPerSecond = 50
	fix := newFixture(t, slow)
	body, err := json.Marshal(engine.ChatRequest{Model: "m", Messages: messages, MaxTokens: 1000, Stream: true})
	assert.NilError(t, err)
	cancelled := false
	res := fix.client.Dispatch(t.Context(), engine.Dispatch{Address: fix.address, ID: requestID("one"), Body: body}, func([]byte) {
		if !cancelled {
			cancelled = true
			assert.Check(t, fix.client.Cancel(t.Context(), fix.address, requestID("one")))
		}
	})
	assert.Assert(t, cancelled && !res.Whole && res.Answered)
	assert.Assert(t, !fix.engine.Dispatches()[0].Finished)
}

func TestSecondPromptWithSamePrefixIsCached(t *testing.T) {
	fix := newFixture(t, fast)
	first, _ := fix.dispatch(t, "one", 2)
	second, _ := fix.dispatch(t, "two", 2)
	assert.Equal(t, first.Usage.Details.CachedTokens, 0)
	prompt := engine.EstimatePrompt(messages)
	assert.Equal(t, second.Usage.Details.CachedTokens, prompt.PrefixTokens)
	var page engine.CacheEvents
	for len(page.Events) == 0 {
		var err error
		page, err = fix.client.CacheEvents(t.Context(), fix.address, 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, page.Events[0].Prefix, prompt.PrefixHash)
	assert.Assert(t, !page.Events[0].Evicted)
}

func TestDrainingIsReported(t *testing.T) {
	fix := newFixture(t, fast)
	fix.engine.SetDraining(true)
	for {
		loa, err := fix.client.Load(t.Context(), fix.address)
		assert.NilError(t, err)
		if loa.Draining {
			return
		}
	}
}
