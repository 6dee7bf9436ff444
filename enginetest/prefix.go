package enginetest

import (
	"container/list"
	"time"

	"lynxwell.dev/lynxwell/engine"
)

// maxEvents bounds the cache events that can still be read.
const maxEvents = 4096

// prefixCache keeps prompt prefixes in limited memory, the last used longest.
type prefixCache struct {
	capacity int
	used     int
	gap      int
	order    *list.List
	elements   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

type timedEvent struct {
	at    time.Time
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

// use reports whether the prefix is in memory, and puts it there.
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

func (pre *prefixCache) addEvent(hash uint64, evicted bool, now time.Time) {
	pre.sequence++
	if pre.gap > 0 && pre.sequence%uint64(pre.gap) == 0 {
		return
	}
	evt := engine.CacheEvent{Sequence: pre.sequence, Prefix: hash, Evicted: evicted}
	pre.events = append(pre.events, timedEvent{at: now, event: evt})
	if over := len(pre.events) - maxEvents; over > 0 {
		pre.events = pre.events[over:]
	}
}

// after returns the events beyond the sequence number that are old enough to show.
func (pre *prefixCache) after(sequence uint64, until time.Time) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: sequence}
	for _, dat := range pre.events {
		if dat.event.Sequence > sequence && !dat.at.After(until) {
			page.Events = append(page.Events, dat.event)
			page.Next = dat.event.Sequence
		}
	}
	return page
}
