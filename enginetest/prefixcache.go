package enginetest

import (
	"container/list"
	"time"

	"lynxwell.dev/lynxwell/engine"
)

// maxEvents bounds the number of cache events kept for readers.
const maxEvents = 4096

// prefixCache caches prompt prefixes in limited memory and evicts the least recently used.
type prefixCache struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	// gap is Config.EventGap.
	gap int
	// order holds the prefixes from the least to the most recently used.
	order    *list.List
	elements map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

type timedEvent struct {
	time  time.Time
	event engine.CacheEvent
}

func newPrefixCache(capacity, gap int) *prefixCache {
	return &prefixCache{capacity: capacity, gap: gap, order: list.New(), elements: make(map[uint64]*list.Element)}
}

func (pre *prefixCache) clear() {
	pre.order.Init()
	clear(pre.elements)
	pre.used = 0
}

// touch reports whether the prefix is cached, and adds it if it is not.
func (pre *prefixCache) touch(hash uint64, tokens int, now time.Time) bool {
	if hash == 0 {
		return false
	}
	if ele := pre.elements[hash]; ele != nil {
		pre.order.MoveToBack(ele)
		return true
	}
	pre.elements[hash] = pre.order.PushBack(cachedPrefix{hash: hash, tokens: tokens})
	pre.used += tokens
	pre.addEvent(hash, false, now)
	for pre.used > pre.capacity && pre.order.Len() > 1 {
		pre.evict(now)
	}
	return false
}

func (pre *prefixCache) evict(now time.Time) {
	oldest, _ := pre.order.Remove(pre.order.Front()).(cachedPrefix)
	delete(pre.elements, oldest.hash)
	pre.used -= oldest.tokens
	pre.addEvent(oldest.hash, true, now)
}

// addEvent records an event, unless it is one of the events that Config.EventGap drops.
func (pre *prefixCache) addEvent(hash uint64, evicted bool, now time.Time) {
	pre.sequence++
	if pre.gap > 0 && pre.sequence%uint64(pre.gap) == 0 {
		return
	}
	evt := engine.CacheEvent{Sequence: pre.sequence, Prefix: hash, Evicted: evicted}
	pre.events = append(pre.events, timedEvent{time: now, event: evt})
	if over := len(pre.events) - maxEvents; over > 0 {
		pre.events = pre.events[over:]
	}
}

// after returns the events with greater sequence numbers that were recorded no later than
// until.
func (pre *prefixCache) after(sequence uint64, until time.Time) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: sequence}
	for _, tev := range pre.events {
		if tev.event.Sequence > sequence && !tev.time.After(until) {
			page.Events = append(page.Events, tev.event)
			page.Next = tev.event.Sequence
		}
	}
	return page
}
