// Package enginetest is a small stand-in of a language-model engine: it batches
// continuously, caches prompt prefixes in limited memory, honours priorities,
// resumes and cancels streams, and reports load and cache events late.
//
// # Usage
//
//	eng := enginetest.New(enginetest.Config{Name: "e1", Slots: 4, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 80})
//	go eng.Run(ctx)
//	http.Serve(lis, eng.Handler())
//
// Its answers are made from the prompt, so a caller can tell its own from
// anybody else's: see Answer. GET /standin/dispatches lists every dispatch it
// ever received; it never tells two of the same id apart, so that doubles show.
package enginetest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/engine"
)

// Config holds what an Engine is made from. Zero stands for the defaults.
type Config struct {
	Name string
	// Slots is how many requests run at once, default 4.
	Slots int
	// PrefillTokensPerSecond is the speed of prompt work, default 8000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the speed of one stream alone, default 80.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the part by which each further stream slows a step, default 0.05.
	BatchSlowdown float64
	// PrefixMemoryTokens bounds the cached prefixes, default 65536.
	PrefixMemoryTokens int
	// LoadLag is how old load reports are, default 200 ms.
	LoadLag time.Duration
	// EventLag is how old cache events are, default 500 ms.
	EventLag time.Duration
	// EventGap drops every so manieth cache event; 0 drops none.
	EventGap int
	// Retention is how long a finished stream can be resumed, default 2 m.
	Retention time.Duration
	// Unattended is how long a stream runs on without a reader, default 30 s.
	Unattended time.Duration
}

// Faults is what is wrong with the engine for the time being.
type Faults struct {
	// Slow divides the speed; 0 stands for 1.
	Slow float64
	// Frozen stops all work and all answers.
	Frozen bool
	// DropReplies has that many dispatches run while their connection ends
	// without a reply.
	DropReplies int
	// Dead ends every connection without a reply and drops all work.
	Dead bool
}

// Engine is the stand-in.
type Engine struct {
	cfg        Config
	mutex      sync.Mutex
	wake       chan struct{}
	faults     Faults
	draining    bool
	waiting    []*job
	running    []*job
	streams    map[string]*job
	prefixes   *prefixCache
	dispatches []*engine.DispatchRecord
	reports    []timedLoad
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// job is one request in the engine.
type job struct {
	record   *engine.DispatchRecord
	priority int
	model    string
	mark     string
	prompt   engine.Prompt
	answerTokens   int
	// prefill is the prompt work still to do, in tokens.
	prefill int
	cached  int
	// tokens counts the answer's tokens so far.
	tokens    int
	done      bool
	cancelled bool
	endTime     time.Time
	readers   int
	readersChanged      time.Time
	changed   chan struct{}
}

// New returns an engine; Run has it work.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	return &Engine{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		streams:  make(map[string]*job),
		prefixes: newPrefixCache(cfg.PrefixMemoryTokens, cfg.EventGap),
	}
}

func withDefaults(cfg Config) Config {
	orInt(&cfg.Slots, 4)
	orFloat(&cfg.PrefillTokensPerSecond, 8000)
	orFloat(&cfg.DecodeTokensPerSecond, 80)
	orFloat(&cfg.BatchSlowdown, 0.05)
	orInt(&cfg.PrefixMemoryTokens, 65536)
	orDuration(&cfg.LoadLag, 200*time.Millisecond)
	orDuration(&cfg.EventLag, 500*time.Millisecond)
	orDuration(&cfg.Retention, 2*time.Minute)
	orDuration(&cfg.Unattended, 30*time.Second)
	return cfg
}

func orInt(val *int, def int) {
	if *val == 0 {
		*val = def
	}
}

func orFloat(val *float64, def float64) {
	if *val == 0 {
		*val = def
	}
}

func orDuration(val *time.Duration, def time.Duration) {
	if *val == 0 {
		*val = def
	}
}

// SetFaults replaces what is wrong.
func (eng *Engine) SetFaults(fau Faults) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.faults = fau
	if fau.Dead {
		eng.cancelAll()
	}
	for _, jb := range eng.streams {
		jb.notify()
	}
	eng.signalWork()
}

func (eng *Engine) cancelAll() {
	for _, jb := range eng.streams {
		jb.end(true)
	}
	clear(eng.streams)
	eng.waiting, eng.running = nil, nil
	eng.prefixes.clear()
}

// SetLeaving has the engine report that it leaves, or no longer leaves.
func (eng *Engine) SetLeaving(leaving bool) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.draining = leaving
}

// Dispatches returns every dispatch ever received.
func (eng *Engine) Dispatches() []engine.DispatchRecord {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	records := make([]engine.DispatchRecord, len(eng.dispatches))
	for idx, rec := range eng.dispatches {
		records[idx] = *rec
	}
	return records
}

// Mark returns the sign that every token of the answer to the prompt carries.
func Mark(messages []engine.Message) string {
	if len(messages) == 0 {
		return "none"
	}
	sum := sha256.Sum256([]byte(messages[len(messages)-1].Content))
	return hex.EncodeToString(sum[:6])
}

// Answer returns the whole answer of the given length to the prompt.
func Answer(messages []engine.Message, tokens int) string {
	mark := Mark(messages)
	text := ""
	for idx := range tokens {
		text += token(mark, idx)
	}
	return text
}

func token(mark string, idx int) string {
	return fmt.Sprintf("%s.%d ", mark, idx)
}

func (eng *Engine) signalWork() {
	select {
	case eng.wake <- struct{}{}:
	default:
	}
}

// Run works until the context ends.
func (eng *Engine) Run(ctx context.Context) {
	for {
		pause, busy := eng.step(time.Now())
		if !busy {
			pause = idleInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-eng.idleWakeups(busy):
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// idleInterval is how often an idle engine looks after its streams.
const idleInterval = 100 * time.Millisecond

// idleWakeups returns the channel of new work, which must not cut a step short.
func (eng *Engine) idleWakeups(busy bool) <-chan struct{} {
	if busy {
		return nil
	}
	return eng.wake
}

// step ends the former step and starts the next one; it returns how long that takes.
func (eng *Engine) step(now time.Time) (time.Duration, bool) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.recordLoad(now)
	eng.expireStreams(now)
	if eng.faults.Frozen || eng.faults.Dead {
		return 0, false
	}
	eng.admit()
	if len(eng.running) == 0 {
		return 0, false
	}
	return eng.runBatch(now), true
}

// prefillChunk is how much prompt work a step does at most, in tokens.
const prefillChunk = 2048

// work does one step of the batch: some prompt work, and a token for each
// stream whose prompt is done.
func (eng *Engine) runBatch(now time.Time) time.Duration {
	budget := prefillChunk
	decoding := 0
	prefilled := 0
	for _, jb := range eng.running {
		if jb.prefill > 0 {
			part := min(budget, jb.prefill)
			budget -= part
			prefilled += part
			jb.prefill -= part
			jb.record.PrefillTokens += part
			continue
		}
		decoding++
		jb.tokens++
		jb.notify()
	}
	eng.removeFinished(now)
	slow := max(1, eng.faults.Slow)
	seconds := float64(prefilled) / eng.cfg.PrefillTokensPerSecond
	if decoding > 0 {
		seconds += (1 + eng.cfg.BatchSlowdown*float64(decoding-1)) / eng.cfg.DecodeTokensPerSecond
	}
	return time.Duration(seconds * slow * float64(time.Second))
}

// retire takes finished and cancelled requests out of the batch.
func (eng *Engine) removeFinished(now time.Time) {
	kept := eng.running[:0]
	for _, jb := range eng.running {
		if jb.tokens >= jb.answerTokens {
			jb.record.Finished = true
			jb.endTime = now
			jb.end(false)
		}
		if !jb.done {
			kept = append(kept, jb)
		}
	}
	eng.running = kept
}

// admit fills the batch from those that wait, by priority and arrival.
func (eng *Engine) admit() {
	for len(eng.running) < eng.cfg.Slots && len(eng.waiting) > 0 {
		best := 0
		for idx, jb := range eng.waiting {
			if jb.priority > eng.waiting[best].priority {
				best = idx
			}
		}
		jb := eng.waiting[best]
		eng.waiting = append(eng.waiting[:best], eng.waiting[best+1:]...)
		if eng.prefixes.touch(jb.prompt.PrefixHash, jb.prompt.PrefixTokens, time.Now()) {
			jb.cached = jb.prompt.PrefixTokens
		}
		jb.prefill = max(1, jb.prompt.Tokens-jb.cached)
		eng.running = append(eng.running, jb)
	}
}

// clean cancels streams without a reader and forgets old ones.
func (eng *Engine) expireStreams(now time.Time) {
	for id, jb := range eng.streams {
		switch {
		case jb.done && now.Sub(jb.endTime) > eng.cfg.Retention:
			delete(eng.streams, id)
		case !jb.done && jb.readers == 0 && now.Sub(jb.readersChanged) > eng.cfg.Unattended:
			eng.cancel(jb, now)
		}
	}
}

func (eng *Engine) cancel(jb *job, now time.Time) {
	jb.endTime = now
	jb.end(true)
	eng.waiting = remove(eng.waiting, jb)
	eng.running = remove(eng.running, jb)
}

func remove(jobs []*job, gone *job) []*job {
	kept := make([]*job, 0, len(jobs))
	for _, jb := range jobs {
		if jb != gone {
			kept = append(kept, jb)
		}
	}
	return kept
}

// note remembers the load for the reports, which lag.
func (eng *Engine) recordLoad(now time.Time) {
	loa := engine.Load{Running: len(eng.running), Waiting: len(eng.waiting), Slots: eng.cfg.Slots, Leaving: eng.draining}
	eng.reports = append(eng.reports, timedLoad{at: now, load: loa})
	for len(eng.reports) > 1 && now.Sub(eng.reports[1].at) >= eng.cfg.LoadLag {
		eng.reports = eng.reports[1:]
	}
}

func (jb *job) end(cancelled bool) {
	if jb.done {
		return
	}
	jb.done = true
	jb.cancelled = cancelled
	jb.notify()
}

// notify wakes the readers of the stream.
func (jb *job) notify() {
	close(jb.changed)
	jb.changed = make(chan struct{})
}
