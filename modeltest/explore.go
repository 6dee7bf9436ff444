package modeltest

import "fmt"

// Exploration is the result of Explore.
type Exploration struct {
	// States is the number of distinct states visited, Steps the number of choices taken,
	// without those of replays.
	States int
	Steps  int
	// TerminalStates is the number of visited states without a next step.
	TerminalStates int
	// Complete is set if every state within the bounds was visited.
	Complete bool
	// MaxDepth is the length of the longest path to a visited state, in choices.
	MaxDepth int
}

// Explore takes every choice in every reachable state, up to maxStates states. The
// error for a violated invariant lists the steps that led to it.
func Explore(cfg Config, maxStates int) (Exploration, error) {
	exp := &explorer{cfg: cfg, maxStates: maxStates, seen: make(map[uint64]bool)}
	err := exp.visit(NewWorld(cfg), nil)
	exp.result.States = len(exp.seen)
	exp.result.Complete = err == nil && !exp.limitReached
	return exp.result, err
}

// explorer visits the states depth first. A World can't be copied, so the explorer
// returns to a branch by replaying its path from the initial state.
type explorer struct {
	cfg          Config
	maxStates    int
	seen         map[uint64]bool
	limitReached bool
	result       Exploration
}

func (exp *explorer) visit(wor *World, path []int) error {
	fingerprint := wor.Fingerprint()
	if exp.seen[fingerprint] {
		return nil
	}
	if len(exp.seen) >= exp.maxStates {
		exp.limitReached = true
		return nil
	}
	exp.seen[fingerprint] = true
	exp.result.MaxDepth = max(exp.result.MaxDepth, len(path))
	count := len(wor.Choices())
	if count == 0 {
		exp.result.TerminalStates++
	}
	for idx := range count {
		if exp.limitReached {
			return nil
		}
		next := wor
		if idx > 0 {
			next = exp.replay(path)
		}
		next.Take(next.Choices()[idx])
		exp.result.Steps++
		if err := next.Check(); err != nil {
			return fmt.Errorf("%w after the steps:\n%s", err, exp.describe(append(path, idx)))
		}
		if err := exp.visit(next, append(path[:len(path):len(path)], idx)); err != nil {
			return err
		}
	}
	return nil
}

func (exp *explorer) replay(path []int) *World {
	wor := NewWorld(exp.cfg)
	for _, idx := range path {
		wor.Take(wor.Choices()[idx])
	}
	return wor
}

func (exp *explorer) describe(path []int) string {
	wor := NewWorld(exp.cfg)
	text := ""
	for _, idx := range path {
		cho := wor.Choices()[idx]
		text += "  " + cho.Name + "\n"
		wor.Take(cho)
	}
	return text
}
