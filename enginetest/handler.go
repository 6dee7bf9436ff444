package enginetest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"lynxwell.dev/lynxwell/engine"
)

// The control paths of the fake engine.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/standin/faults"
	// PathDraining takes a JSON boolean by POST: whether the engine is draining.
	PathDraining = "/standin/leaving"
	// PathDispatches answers GET with all dispatches received.
	PathDispatches = "/standin/dispatches"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// defaultAnswerTokens is the length of an answer if the request doesn't set max_tokens.
const defaultAnswerTokens = 16

// Handler returns the HTTP handler of the engine protocol and the control paths.
func (eng *Engine) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc(PathFaults, eng.serveFaults).Methods(http.MethodPost)
	rou.HandleFunc(PathDraining, eng.serveDraining).Methods(http.MethodPost)
	rou.HandleFunc(PathDispatches, eng.serveDispatches).Methods(http.MethodGet)
	sub := rou.NewRoute().Subrouter()
	sub.Use(eng.applyFaults)
	sub.HandleFunc(engine.PathChat, eng.serveChat).Methods(http.MethodPost)
	sub.HandleFunc(engine.PathStreams+"{id}", eng.serveResume).Methods(http.MethodGet)
	sub.HandleFunc(engine.PathStreams+"{id}", eng.serveCancel).Methods(http.MethodDelete)
	sub.HandleFunc(engine.PathLoad, eng.serveLoad).Methods(http.MethodGet)
	sub.HandleFunc(engine.PathEvents, eng.serveEvents).Methods(http.MethodGet)
	return rou
}

// applyFaults closes the connection without a reply while the engine is Dead, and delays
// requests while it is Frozen.
func (eng *Engine) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		for {
			eng.mutex.Lock()
			fau := eng.faults
			eng.mutex.Unlock()
			if fau.Dead {
				panic(http.ErrAbortHandler)
			}
			if !fau.Frozen {
				break
			}
			if !sleep(req, idleInterval) {
				return
			}
		}
		next.ServeHTTP(wri, req)
	})
}

// sleep waits for the duration; it returns false if the client disconnects first.
func sleep(req *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

func (eng *Engine) serveChat(wri http.ResponseWriter, req *http.Request) {
	var chat engine.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxBodyBytes)).Decode(&chat); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	jb, drop := eng.accept(req, chat)
	if drop {
		panic(http.ErrAbortHandler)
	}
	if chat.Stream {
		eng.send(wri, req, jb, 0)
		return
	}
	eng.sendComplete(wri, req, jb)
}

// accept records and queues a dispatch; drop reports whether its reply must be dropped.
func (eng *Engine) accept(req *http.Request, chat engine.ChatRequest) (jb *job, drop bool) {
	priority, _ := strconv.Atoi(req.Header.Get(engine.HeaderPriority))
	id := req.Header.Get(engine.HeaderRequestID)
	prompt := engine.EstimatePrompt(chat.Messages)
	answerTokens := chat.MaxTokens
	orInt(&answerTokens, defaultAnswerTokens)
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	rec := &engine.DispatchRecord{ID: id, Call: req.Method + " " + req.URL.Path, Priority: priority, PromptTokens: prompt.Tokens}
	eng.dispatches = append(eng.dispatches, rec)
	jb = &job{
		record: rec, priority: priority, model: chat.Model, promptDigest: PromptDigest(chat.Messages),
		prompt: prompt, answerTokens: answerTokens, changed: make(chan struct{}), readersChanged: time.Now(),
	}
	eng.streams[id] = jb
	eng.waiting = append(eng.waiting, jb)
	eng.signalWork()
	if eng.faults.DropReplies > 0 {
		eng.faults.DropReplies--
		return jb, true
	}
	return jb, false
}

func (eng *Engine) find(req *http.Request) *job {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return eng.streams[mux.Vars(req)["id"]]
}

func (eng *Engine) serveResume(wri http.ResponseWriter, req *http.Request) {
	jb := eng.find(req)
	if jb == nil {
		http.Error(wri, "no such stream", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(req.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(wri, "offset: want a number of 0 or more", http.StatusBadRequest)
		return
	}
	eng.send(wri, req, jb, offset)
}

func (eng *Engine) serveCancel(wri http.ResponseWriter, req *http.Request) {
	jb := eng.find(req)
	if jb == nil {
		http.Error(wri, "no such stream", http.StatusNotFound)
		return
	}
	eng.mutex.Lock()
	eng.cancel(jb, time.Now())
	eng.mutex.Unlock()
	wri.WriteHeader(http.StatusNoContent)
}

// progress is a snapshot of a job for a reader of its stream.
type progress struct {
	tokens    int
	done      bool
	cancelled bool
	frozen    bool
	changed   <-chan struct{}
}

func (eng *Engine) progressOf(jb *job) progress {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return progress{
		tokens: jb.tokens, done: jb.done, cancelled: jb.cancelled,
		frozen: eng.faults.Frozen, changed: jb.changed,
	}
}

func (eng *Engine) addReaders(jb *job, change int) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	jb.readers += change
	jb.readersChanged = time.Now()
}

// send streams the answer, starting at the event with the offset. The event before the
// end mark carries the token count.
func (eng *Engine) send(wri http.ResponseWriter, req *http.Request, jb *job, offset int) {
	eng.addReaders(jb, 1)
	defer eng.addReaders(jb, -1)
	wri.Header().Set("Content-Type", "text/event-stream")
	wri.Header().Set(engine.HeaderOffset, strconv.Itoa(offset))
	for {
		pro := eng.progressOf(jb)
		if pro.cancelled {
			panic(http.ErrAbortHandler)
		}
		if !pro.frozen {
			offset = eng.sendTokens(wri, jb, offset, pro.tokens)
			if pro.done {
				eng.sendEnd(wri, jb, offset)
				return
			}
		}
		select {
		case <-pro.changed:
		case <-req.Context().Done():
			return
		}
	}
}

func (eng *Engine) sendTokens(wri http.ResponseWriter, jb *job, from, until int) int {
	if from >= until {
		return from
	}
	for ; from < until; from++ {
		writeEvent(wri, chunkOf(jb, &engine.Message{Role: "assistant", Content: token(jb.promptDigest, from)}))
	}
	flush(wri)
	return from
}

func (eng *Engine) sendEnd(wri http.ResponseWriter, jb *job, offset int) {
	if offset <= jb.answerTokens {
		chu := chunkOf(jb, nil)
		chu.Usage = usageOf(jb)
		writeEvent(wri, chu)
	}
	_, _ = wri.Write([]byte("data: [DONE]\n\n"))
	flush(wri)
}

func (eng *Engine) sendComplete(wri http.ResponseWriter, req *http.Request, jb *job) {
	eng.addReaders(jb, 1)
	defer eng.addReaders(jb, -1)
	for {
		pro := eng.progressOf(jb)
		if pro.cancelled {
			panic(http.ErrAbortHandler)
		}
		if pro.done && !pro.frozen {
			break
		}
		select {
		case <-pro.changed:
		case <-req.Context().Done():
			return
		}
	}
	text := ""
	for idx := range jb.answerTokens {
		text += token(jb.promptDigest, idx)
	}
	chu := chunkOf(jb, nil)
	chu.Object = "chat.completion"
	chu.Choices = []engine.Choice{{Message: &engine.Message{Role: "assistant", Content: text}, FinishReason: stopReason()}}
	chu.Usage = usageOf(jb)
	replyJSON(wri, chu)
}

func stopReason() *string {
	reason := "stop"
	return &reason
}

func chunkOf(jb *job, delta *engine.Message) engine.Chunk {
	chu := engine.Chunk{ID: jb.record.ID, Object: "chat.completion.chunk", Model: jb.model, Choices: []engine.Choice{}}
	if delta != nil {
		chu.Choices = append(chu.Choices, engine.Choice{Delta: delta})
	}
	return chu
}

func usageOf(jb *job) *engine.Usage {
	return &engine.Usage{
		PromptTokens: jb.prompt.Tokens, CompletionTokens: jb.answerTokens, TotalTokens: jb.prompt.Tokens + jb.answerTokens,
		Details: &engine.UsageDetails{CachedTokens: jb.cached},
	}
}

func writeEvent(wri http.ResponseWriter, chu engine.Chunk) {
	data, err := json.Marshal(chu)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = wri.Write([]byte("data: " + string(data) + "\n\n"))
}

func flush(wri http.ResponseWriter) {
	_ = http.NewResponseController(wri).Flush()
}

func (eng *Engine) serveLoad(wri http.ResponseWriter, _ *http.Request) {
	eng.mutex.Lock()
	loa := engine.Load{Slots: eng.cfg.Slots}
	if len(eng.reports) > 0 {
		loa = eng.reports[0].load
	}
	eng.mutex.Unlock()
	replyJSON(wri, loa)
}

func (eng *Engine) serveEvents(wri http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(wri, "after: want a number of 0 or more", http.StatusBadRequest)
		return
	}
	eng.mutex.Lock()
	page := eng.prefixes.after(after, time.Now().Add(-eng.cfg.EventLag))
	eng.mutex.Unlock()
	replyJSON(wri, page)
}

func (eng *Engine) serveFaults(wri http.ResponseWriter, req *http.Request) {
	var fau Faults
	if err := json.NewDecoder(req.Body).Decode(&fau); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	eng.SetFaults(fau)
	wri.WriteHeader(http.StatusNoContent)
}

func (eng *Engine) serveDraining(wri http.ResponseWriter, req *http.Request) {
	var draining bool
	if err := json.NewDecoder(req.Body).Decode(&draining); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	eng.SetDraining(draining)
	wri.WriteHeader(http.StatusNoContent)
}

func (eng *Engine) serveDispatches(wri http.ResponseWriter, _ *http.Request) {
	replyJSON(wri, eng.Dispatches())
}

func replyJSON(wri http.ResponseWriter, body any) {
	wri.Header().Set("Content-Type", "application/json")
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(wri).Encode(body)
}
