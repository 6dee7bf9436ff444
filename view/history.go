package view

import "lynxwell.dev/lynxwell/request"

// History stores the most recent views by number.
type History struct {
	limit  uint64
	views  map[uint64]View
	newest uint64
}

// historyLimit is the number of views that a history stores.
const historyLimit = 128

// NewHistory returns an empty history.
func NewHistory() History {
	return History{limit: historyLimit, views: make(map[uint64]View)}
}

// Add stores the view and removes the oldest views beyond the limit.
func (his *History) Add(vie View) {
	his.views[vie.Number] = vie
	his.newest = max(his.newest, vie.Number)
	if his.newest <= his.limit {
		return
	}
	for number := range his.views {
		if number <= his.newest-his.limit {
			delete(his.views, number)
		}
	}
}

// Get returns the view with the number, if it is stored.
func (his *History) Get(number uint64) (View, bool) {
	vie, known := his.views[number]
	return vie, known
}

// Newest returns the newest view. Its number is 0 if the history is empty.
func (his *History) Newest() View {
	return his.views[his.newest]
}

// Since returns the stored views with at least the given number, oldest first.
func (his *History) Since(number uint64) []View {
	var views []View
	for num := max(number, 1); num <= his.newest; num++ {
		if vie, known := his.views[num]; known {
			views = append(views, vie)
		}
	}
	return views
}

// ContainsEpoch reports whether any stored view has a member with the epoch.
func (his *History) ContainsEpoch(epo request.Epoch) bool {
	_, known := his.Find(func(mem Member) bool { return mem.Epoch == epo })
	return known
}

// Find returns the first matching member. It searches the stored views from the newest to the
// oldest and stops at a gap in their numbers.
func (his *History) Find(match func(Member) bool) (Member, bool) {
	for num := his.newest; num > 0; num-- {
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
