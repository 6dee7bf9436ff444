// Package enginetest provides a fake language-model engine. It uses continuous
// batching, caches prompt prefixes in limited memory, schedules by priority,
// resumes and cancels streams, and reports load and cache events with a delay.
//
// # Usage
//
//	eng := enginetest.New(enginetest.Config{Name: "e1", Slots: 4, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 80})
//	go eng.Run(ctx)
//	http.Serve(lis, eng.Handler())
//
// Answers are derived from the prompt, so that a client can check that an answer
// is its own: see Answer. GET /standin/dispatches lists every dispatch received,
// including repeated ones with the same id.
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

// Config configures an Engine. Zero values mean the defaults.
type Config struct {
	Name string
	// Slots is the maximum number of concurrent requests, default 4.
	Slots int
	// PrefillTokensPerSecond is the prefill speed, default 8000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the decode speed of a single stream, default 80.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the fraction by which each additional stream lengthens a decode step,
	// default 0.05.
	BatchSlowdown float64
	// PrefixMemoryTokens bounds the total length of the cached prefixes, default 65536.
	PrefixMemoryTokens int
	// LoadLag is the delay of load reports, default 200 ms.
	LoadLag time.Duration
	// EventLag is the delay of cache events, default 500 ms.
	EventLag time.Duration
	// EventGap drops every n-th cache event, where n is its value; 0 drops none.
	EventGap int
	// Retention is how long a finished stream can be resumed, default 2 min.
	Retention time.Duration
	// Unattended is how long a stream continues without a reader, default 30 s.
	Unattended time.Duration
}

// Faults are the faults that the engine currently has.
type Faults struct {
	// Slow multiplies the duration of each step; 0 and all other values under 1 mean 1.
	Slow float64
	// Frozen suspends all work and all answers.
	Frozen bool
	// DropReplies is how many further dispatches run without a reply; their connections
	// are closed.
	DropReplies int
	// Dead closes every connection without a reply, cancels all requests and clears the cache.
	Dead bool
}

// Engine is a fake language-model engine.
type Engine struct {
	cfg        Config
	mutex      sync.Mutex
	wake       chan struct{}
	faults     Faults
	draining   bool
	waiting    []*job
	running    []*job
	streams    map[string]*job
	prefixes   *prefixCache
	dispatches []*engine.DispatchRecord
	reports    []timedLoad
}

type timedLoad struct {
	time time.Time
	load engine.Load
}

// job is a request in the engine.
type job struct {
	record       *engine.DispatchRecord
	priority     int
	model        string
	promptDigest string
	prompt       engine.Prompt
	answerTokens int
	// prefill is the pending prefill, in tokens.
	prefill int
	cached  int
	// tokens counts the generated tokens of the answer.
	tokens    int
	done      bool
	cancelled bool
	endTime   time.Time
	readers   int
	// readersChanged is when a reader most recently connected or disconnected.
	readersChanged time.Time
	// changed is closed and replaced at each change of the job.
	changed chan struct{}
}

// New returns an engine. It processes requests only while Run is running.
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

// SetFaults replaces the engine's faults.
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

// SetDraining sets whether the engine reports that it is draining.
func (eng *Engine) SetDraining(draining bool) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.draining = draining
}

// Dispatches returns all dispatches received, in order of arrival.
func (eng *Engine) Dispatches() []engine.DispatchRecord {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	records := make([]engine.DispatchRecord, len(eng.dispatches))
	for idx, rec := range eng.dispatches {
		records[idx] = *rec
	}
	return records
}

// PromptDigest returns a digest of the prompt's last message, or "none" for a prompt without
// messages.
// Every token of the answer starts with the digest.
func PromptDigest(messages []engine.Message) string {
	if len(messages) == 0 {
		return "none"
	}
	sum := sha256.Sum256([]byte(messages[len(messages)-1].Content))
	return hex.EncodeToString(sum[:6])
}

// Answer returns the complete answer to the prompt, with the given number of tokens.
func Answer(messages []engine.Message, tokens int) string {
	digest := PromptDigest(messages)
	text := ""
	for idx := range tokens {
		text += token(digest, idx)
	}
	return text
}

func token(digest string, idx int) string {
	return fmt.Sprintf("%s.%d ", digest, idx)
}

func (eng *Engine) signalWork() {
	select {
	case eng.wake <- struct{}{}:
	default:
	}
}

// Run processes requests until the context is cancelled.
func (eng *Engine) Run(ctx context.Context) {
	for {
		wait, busy := eng.step(time.Now())
		if !busy {
			wait = idleInterval
		}
		timer := time.NewTimer(wait)
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

// idleInterval is the interval at which an idle engine expires streams and records its load.
const idleInterval = 100 * time.Millisecond

// idleWakeups returns the channel that signals new work. It returns nil if the engine is
// busy, since new work must not shorten a step.
func (eng *Engine) idleWakeups(busy bool) <-chan struct{} {
	if busy {
		return nil
	}
	return eng.wake
}

// step performs the next step of the batch. It returns the step's duration and whether there
// was any work.
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

// prefillChunk bounds the prefill of one step, in tokens.
const prefillChunk = 2048

// runBatch performs one step of the batch, prefill up to prefillChunk and one token for
// each request whose prefill is complete, and returns its duration.
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

// removeFinished removes finished and cancelled requests from the batch.
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

// admit fills the batch from the queue, by priority and then by arrival.
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

// expireStreams cancels streams that have had no reader for too long and deletes finished
// ones after the retention period.
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

func remove(jobs []*job, removed *job) []*job {
	kept := make([]*job, 0, len(jobs))
	for _, jb := range jobs {
		if jb != removed {
			kept = append(kept, jb)
		}
	}
	return kept
}

// recordLoad records the load for the delayed load reports.
func (eng *Engine) recordLoad(now time.Time) {
	loa := engine.Load{Running: len(eng.running), Waiting: len(eng.waiting), Slots: eng.cfg.Slots, Draining: eng.draining}
	eng.reports = append(eng.reports, timedLoad{time: now, load: loa})
	for len(eng.reports) > 1 && now.Sub(eng.reports[1].time) >= eng.cfg.LoadLag {
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

// notify signals a change to the readers of the stream.
func (jb *job) notify() {
	close(jb.changed)
	jb.changed = make(chan struct{})
}
