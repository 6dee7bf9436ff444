package modeltest

import "fmt"

// Exploration is the result of Explore.
type Exploration struct {
	// States counts the different states met, Steps the choices taken.
	States int
	Steps  int
	// Ends counts the states in which nothing more can happen.
	Ends int
	// Complete is set when every state within the bounds was met.
	Complete bool
	// Deepest is the longest way, in choices.
	Deepest int
}

// Explore tries every choice in every state that can be reached, up to the
// number of states. It returns the way to a violation with the error.
func Explore(cfg Config, maxStates int) (Exploration, error) {
	exp := &explorer{cfg: cfg, max: maxStates, seen: make(map[uint64]bool)}
	err := exp.from(NewWorld(cfg), nil)
	exp.result.States = len(exp.seen)
	exp.result.Complete = err == nil && !exp.full
	return exp.result, err
}

// explorer goes through the states depth first. A world can't be copied, so a
// branch is met again by taking its way once more from the start.
type explorer struct {
	cfg    Config
	max    int
	seen   map[uint64]bool
	full   bool
	result Exploration
}

func (exp *explorer) from(wor *World, way []int) error {
	mark := wor.Fingerprint()
	if exp.seen[mark] {
		return nil
	}
	if len(exp.seen) >= exp.max {
		exp.full = true
		return nil
	}
	exp.seen[mark] = true
	exp.result.Deepest = max(exp.result.Deepest, len(way))
	count := len(wor.Choices())
	if count == 0 {
		exp.result.Ends++
	}
	for idx := range count {
		if exp.full {
			return nil
		}
		next := wor
		if idx > 0 {
			next = exp.replay(way)
		}
		next.Take(next.Choices()[idx])
		exp.result.Steps++
		if err := next.Check(); err != nil {
			return fmt.Errorf("%w after:\n%s", err, exp.describe(append(way, idx)))
		}
		if err := exp.from(next, append(way[:len(way):len(way)], idx)); err != nil {
			return err
		}
	}
	return nil
}

func (exp *explorer) replay(way []int) *World {
	wor := NewWorld(exp.cfg)
	for _, idx := range way {
		wor.Take(wor.Choices()[idx])
	}
	return wor
}

func (exp *explorer) describe(way []int) string {
	wor := NewWorld(exp.cfg)
	text := ""
	for _, idx := range way {
		cho := wor.Choices()[idx]
		text += "  " + cho.Name + "\n"
		wor.Take(cho)
	}
	return text
}
