package coordinator

import "container/list"

// prefixCapacity is the number of prompt prefixes remembered per engine.
const prefixCapacity = 512

// prefixSet estimates which prompt prefixes an engine has cached: the most recently
// granted ones, corrected by the engine's cache events.
type prefixSet struct {
	order    *list.List
	elements map[uint64]*list.Element
}

func newPrefixSet() *prefixSet {
	return &prefixSet{order: list.New(), elements: make(map[uint64]*list.Element)}
}

func (pre *prefixSet) has(hash uint64) bool {
	return hash != 0 && pre.elements[hash] != nil
}

func (pre *prefixSet) add(hash uint64) {
	if hash == 0 {
		return
	}
	if ele := pre.elements[hash]; ele != nil {
		pre.order.MoveToBack(ele)
		return
	}
	pre.elements[hash] = pre.order.PushBack(hash)
	if pre.order.Len() > prefixCapacity {
		oldest, _ := pre.order.Front().Value.(uint64)
		pre.remove(oldest)
	}
}

func (pre *prefixSet) remove(hash uint64) {
	if ele := pre.elements[hash]; ele != nil {
		pre.order.Remove(ele)
		delete(pre.elements, hash)
	}
}
