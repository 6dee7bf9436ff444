package view

import "lynxwell.dev/lynxwell/request"

// History remembers the last views by number.
type History struct {
	limit uint64
	views map[uint64]View
	last  uint64
}

// historyLimit is how many views a history remembers.
const historyLimit = 128

// NewHistory returns an empty history.
func NewHistory() History {
	return History{limit: historyLimit, views: make(map[uint64]View)}
}

// Add remembers the view and forgets the ones that are too old.
func (his *History) Add(vie View) {
	his.views[vie.Number] = vie
	his.last = max(his.last, vie.Number)
	if his.last <= his.limit {
		return
	}
	for number := range his.views {
		if number <= his.last-his.limit {
			delete(his.views, number)
		}
	}
}

// Get returns the view with the number.
func (his *History) Get(number uint64) (View, bool) {
	vie, known := his.views[number]
	return vie, known
}

// Last returns the newest view; its number is 0 when there is none.
func (his *History) Last() View {
	return his.views[his.last]
}

// Since returns the remembered views from the number on, oldest first.
func (his *History) Since(number uint64) []View {
	var views []View
	for num := max(number, 1); num <= his.last; num++ {
		if vie, known := his.views[num]; known {
			views = append(views, vie)
		}
	}
	return views
}

// Knows reports whether any remembered view has the epoch.
func (his *History) Knows(epo request.Epoch) bool {
	_, known := his.Find(func(mem Member) bool { return mem.Epoch == epo })
	return known
}

// Find returns the newest member with the epoch in any remembered view.
func (his *History) Find(match func(Member) bool) (Member, bool) {
	for num := his.last; num > 0; num-- {
		vie, known := his.views[num]
		if !known {
			break
		}
		for _, mem := range vie.Members {
			if match(mem) {
				return mem, true
			}
		}
	}
	return Member{}, false
}
