package fairqueue

import "container/heap"

// deadlines is a heap of entries, the one with the earliest Until first.
type deadlines[V any] []*Entry[V]

func (dls *deadlines[V]) push(ent *Entry[V]) { heap.Push(dls, ent) }

func (dls *deadlines[V]) remove(ent *Entry[V]) { heap.Remove(dls, ent.heapIndex) }

// Len implements heap.Interface.
func (dls deadlines[V]) Len() int { return len(dls) }

// Less implements heap.Interface.
func (dls deadlines[V]) Less(left, right int) bool { return dls[left].Until.Before(dls[right].Until) }

// Swap implements heap.Interface.
func (dls deadlines[V]) Swap(left, right int) {
	dls[left], dls[right] = dls[right], dls[left]
	dls[left].heapIndex, dls[right].heapIndex = left, right
}

// Push implements heap.Interface.
func (dls *deadlines[V]) Push(item any) {
	ent, _ := item.(*Entry[V])
	ent.heapIndex = len(*dls)
	*dls = append(*dls, ent)
}

// Pop implements heap.Interface.
func (dls *deadlines[V]) Pop() any {
	last := len(*dls) - 1
	ent := (*dls)[last]
	(*dls)[last] = nil
	*dls = (*dls)[:last]
	return ent
}
