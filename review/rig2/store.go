package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store, as the pages spell it.
type item struct {
	Key     string `json:"tls_key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"create_rev"`
	Lease   uint64 `json:"lease"`
}

// change is an event of a watch.
type change struct {
	item
	deleted bool
	at      time.Time
}

// MarshalJSON writes a written item in full, and of a deleted one its key and revision.
func (cha change) MarshalJSON() ([]byte, error) {
	if !cha.deleted {
		return json.Marshal(cha.item)
	}
	return json.Marshal(map[string]any{"tls_key": cha.Key, "revision": cha.Rev, "deleted": true})
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// loss says what happens to one writing call: lost calls get no answer, and are done after late.
type loss struct {
	lost bool
	late time.Duration
}

// platformStore is a stand-in of the platform's metadata store.
type platformStore struct {
	address string
	handler http.Handler
	mutex   sync.Mutex
	items   map[string]item
	leases  map[uint64]lease
	history []change
	rev     uint64
	nextID  uint64
	changed chan struct{}
	// lose decides on each writing call of a host; nil loses none. keys are the keys that it writes.
	lose func(call string, keys []string) loss
	// cutWatch returns after which time a waiting watch is cut; nil or 0 for never.
	cutWatch func() time.Duration
	// cuts counts the watches that were cut.
	cuts int
	// staleBy is how old the answers of reads with stale_ok are. downUntil is the time until which the store turns all
	// calls away.
	staleBy   time.Duration
	downUntil time.Time
	// lastConditional is the door through which a host last wrote under a condition.
	lastConditional *door
	// calls counts the writing calls while lose is set, and lostCalls those that got no answer.
	calls, lostCalls int
}

const storeLatency = 4 * time.Millisecond

func newStore() (*platformStore, error) {
	sto := &platformStore{items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), nextID: 100}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto.address = lis.Addr().String()
	mux := http.NewServeMux()
	sto.handler = mux
	mux.HandleFunc("GET /kv-key", sto.serveKey)
	mux.HandleFunc("GET /kv-range", sto.serveRange)
	mux.HandleFunc("GET /kv-watch", sto.serveWatch)
	mux.HandleFunc("POST /kv-txn", sto.serveTxn)
	mux.HandleFunc("POST /kv-lease", sto.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", sto.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", sto.serveLeaseEnd)
	go http.Serve(lis, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if sto.isDown() {
			answer(wri, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(wri, req)
	}))
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			sto.mutex.Lock()
			sto.expire()
			sto.mutex.Unlock()
		}
	}()
	return sto, nil
}

func answer(wri http.ResponseWriter, status int, body any) {
	time.Sleep(storeLatency)
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	json.NewEncoder(wri).Encode(body)
}

// expire ends the leases whose time is over; the mutex must be held.
func (sto *platformStore) expire() {
	for id, lea := range sto.leases {
		if time.Now().After(lea.until) {
			sto.endLease(id)
		}
	}
}

func (sto *platformStore) endLease(id uint64) {
	delete(sto.leases, id)
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.rev++
			sto.record(change{item: item{Key: key, Rev: sto.rev}, deleted: true})
		}
	}
}

func (sto *platformStore) isDown() bool {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	return time.Now().Before(sto.downUntil)
}

// stateAt returns the items and the revision that the store had at a time; the mutex must be held.
func (sto *platformStore) stateAt(at time.Time) (map[string]item, uint64) {
	items, rev := map[string]item{}, uint64(0)
	for _, cha := range sto.history {
		if cha.at.After(at) {
			break
		}
		rev = cha.Rev
		if cha.deleted {
			delete(items, cha.Key)
		} else {
			items[cha.Key] = cha.item
		}
	}
	return items, rev
}

// record applies a change of the present revision; the mutex must be held.
func (sto *platformStore) record(cha change) {
	if cha.deleted {
		delete(sto.items, cha.Key)
	} else {
		sto.items[cha.Key] = cha.item
	}
	cha.at = time.Now()
	sto.history = append(sto.history, cha)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// put writes a key as an operator or an engine does, and returns the revision.
func (sto *platformStore) put(key string, value []byte, leaseID uint64) uint64 {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.rev++
	sto.write(key, value, leaseID)
	return sto.rev
}

func (sto *platformStore) write(key string, value []byte, leaseID uint64) {
	created := sto.rev
	if old, found := sto.items[key]; found {
		created = old.Created
	}
	sto.record(change{item: item{Key: key, Value: value, Rev: sto.rev, Created: created, Lease: leaseID}})
}

func (sto *platformStore) remove(key string) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	if _, found := sto.items[key]; found {
		sto.rev++
		sto.record(change{item: item{Key: key, Rev: sto.rev}, deleted: true})
	}
}

// keys returns the keys of the store that contain a text.
func (sto *platformStore) keys(part string) []string {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expire()
	var keys []string
	for key := range sto.items {
		if strings.Contains(key, part) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (sto *platformStore) serveKey(wri http.ResponseWriter, req *http.Request) {
	sto.mutex.Lock()
	sto.expire()
	itm, found := sto.items[req.URL.Query().Get("tls_key")]
	rev := sto.rev
	sto.mutex.Unlock()
	if !found {
		answer(wri, http.StatusNotFound, map[string]any{"store_revision": rev})
		return
	}
	answer(wri, http.StatusOK, struct {
		item
		Store uint64 `json:"store_revision"`
	}{itm, rev})
}

const pageItems = 500

func (sto *platformStore) serveRange(wri http.ResponseWriter, req *http.Request) {
	prefix, after := req.URL.Query().Get("path_prefix"), req.URL.Query().Get("after_rev")
	sto.mutex.Lock()
	sto.expire()
	state, rev := sto.items, sto.rev
	if req.URL.Query().Get("stale_ok") == "1" && sto.staleBy > 0 {
		state, rev = sto.stateAt(time.Now().Add(-sto.staleBy))
	}
	items := []item{}
	for key, itm := range state {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, itm)
		}
	}
	sto.mutex.Unlock()
	sort.Slice(items, func(one, two int) bool { return items[one].Key < items[two].Key })
	more := len(items) > pageItems
	answer(wri, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "store_revision": rev})
}

func (sto *platformStore) serveWatch(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	var cut <-chan time.Time
	sto.mutex.Lock()
	if sto.cutWatch != nil {
		if after := sto.cutWatch(); after > 0 {
			cut = time.After(after)
		}
	}
	sto.mutex.Unlock()
	for ended := false; ; {
		sto.mutex.Lock()
		sto.expire()
		events := []change{}
		for idx := len(sto.history) - 1; idx >= 0 && sto.history[idx].Rev > after; idx-- {
			if strings.HasPrefix(sto.history[idx].Key, query.Get("path_prefix")) {
				events = append(events, sto.history[idx])
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mutex.Unlock()
		if len(events) > 0 || ended {
			for one, two := 0, len(events)-1; one < two; one, two = one+1, two-1 {
				events[one], events[two] = events[two], events[one]
			}
			answer(wri, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-cut:
			sto.mutex.Lock()
			sto.cuts++
			sto.mutex.Unlock()
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []struct {
		Key string `json:"tls_key"`
		Rev uint64 `json:"revision"`
	} `json:"expected_rev"`
	Writes []struct {
		Key   string `json:"tls_key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// writing carries out a writing call, unless its answer is lost.
func (sto *platformStore) writing(wri http.ResponseWriter, req *http.Request, call string, keys []string, do func() (int, any)) {
	var los loss
	sto.mutex.Lock()
	if sto.lose != nil {
		los = sto.lose(call, keys)
		sto.calls++
		if los.lost {
			sto.lostCalls++
		}
	}
	sto.mutex.Unlock()
	if !los.lost {
		status, body := do()
		answer(wri, status, body)
		return
	}
	record("store: %s %v gets no answer, done after %v", call, keys, los.late)
	time.AfterFunc(los.late, func() {
		status, _ := do()
		record("store: lost %s %v done now, status %d", call, keys, status)
	})
	// The connection says nothing further.
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

func (sto *platformStore) serveTxn(wri http.ResponseWriter, req *http.Request) {
	var body txn
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		answer(wri, http.StatusBadRequest, map[string]any{})
		return
	}
	if dor, found := req.Context().Value(doorKey{}).(*door); found && len(body.Expected) > 0 {
		sto.mutex.Lock()
		sto.lastConditional = dor
		sto.mutex.Unlock()
	}
	var keys []string
	for _, wrt := range body.Writes {
		keys = append(keys, wrt.Key)
	}
	keys = append(keys, body.Remove...)
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			answer(wri, http.StatusForbidden, map[string]any{})
			return
		}
	}
	sto.writing(wri, req, "kv-txn", keys, func() (int, any) { return sto.commit(body) })
}

func (sto *platformStore) commit(body txn) (int, any) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expire()
	for _, exp := range body.Expected {
		if sto.items[exp.Key].Rev == exp.Rev {
			continue
		}
		items := []item{}
		for _, other := range body.Expected {
			if itm, found := sto.items[other.Key]; found {
				items = append(items, itm)
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, wrt := range body.Writes {
		if _, found := sto.leases[wrt.Lease]; wrt.Lease != 0 && !found {
			return http.StatusNotFound, map[string]any{}
		}
	}
	sto.rev++
	for _, wrt := range body.Writes {
		sto.write(wrt.Key, wrt.Value, wrt.Lease)
	}
	for _, key := range body.Remove {
		if _, found := sto.items[key]; found {
			sto.record(change{item: item{Key: key, Rev: sto.rev}, deleted: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": sto.rev}
}

func (sto *platformStore) serveLease(wri http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	json.NewDecoder(req.Body).Decode(&body)
	// The lease runs from the call's arrival.
	until := time.Now().Add(time.Duration(body.TTL) * time.Millisecond)
	sto.writing(wri, req, "kv-lease", nil, func() (int, any) {
		sto.mutex.Lock()
		defer sto.mutex.Unlock()
		sto.nextID++
		sto.leases[sto.nextID] = lease{ttl: time.Duration(body.TTL) * time.Millisecond, until: until}
		return http.StatusOK, map[string]any{"lease": sto.nextID, "ttl_ms": body.TTL}
	})
}

// serveKeep renews a lease, which counts as a reading call.
func (sto *platformStore) serveKeep(wri http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseUint(req.PathValue("id"), 10, 64)
	sto.mutex.Lock()
	sto.expire()
	lea, found := sto.leases[id]
	if found {
		lea.until = time.Now().Add(lea.ttl)
		sto.leases[id] = lea
	}
	sto.mutex.Unlock()
	if !found {
		answer(wri, http.StatusNotFound, map[string]any{})
		return
	}
	answer(wri, http.StatusOK, map[string]any{"ttl_ms": lea.ttl.Milliseconds()})
}

func (sto *platformStore) serveLeaseEnd(wri http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseUint(req.PathValue("id"), 10, 64)
	sto.writing(wri, req, "kv-lease-end", nil, func() (int, any) {
		sto.mutex.Lock()
		defer sto.mutex.Unlock()
		if _, found := sto.leases[id]; !found {
			return http.StatusNotFound, map[string]any{}
		}
		sto.endLease(id)
		return http.StatusOK, map[string]any{}
	})
}
