package reconcile_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/reconcile"
	"lynxwell.dev/lynxwell/store"
)

// policyOf derives the policy from the first letter of a key.
func policyOf(key string) reconcile.Policy {
	switch key[0] {
	case 'o':
		return reconcile.PolicyOwner
	case 'k':
		return reconcile.PolicyKeep
	case 'e':
		return reconcile.PolicyEither
	case 'r':
		return reconcile.PolicyRewrite
	default:
		return reconcile.PolicyListed
	}
}

// bySequence orders values that are numbers.
func bySequence(known, listed store.Value) (int, bool) {
	one, oneErr := strconv.Atoi(string(known.Data))
	two, twoErr := strconv.Atoi(string(listed.Data))
	return cmp.Compare(one, two), oneErr == nil && twoErr == nil
}

func value(key, data string, era store.Era, number uint64) store.Value {
	return store.Value{Key: key, Data: []byte(data), Revision: store.NewRevision(era, number)}
}

// text describes values as KEY=DATA@NUMBER.
func text(values []store.Value) string {
	var parts []string
	for _, val := range values {
		parts = append(parts, fmt.Sprintf("%s=%s@%d", val.Key, val.Data, val.Revision.Number()))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func TestMerge(t *testing.T) {
	for _, tst := range []struct {
		name  string
		known []store.Value
		// removed are keys that were removed at number 60.
		removed []string
		listed  []store.Value
		want    string
		writes  []store.Write
	}{
		{name: "the store counts for other keys", known: []store.Value{value("x", "new", 0, 50)}, listed: []store.Value{value("x", "old", 1, 40)}, want: "x=old@40"},
		{name: "an owner's older value", known: []store.Value{value("o", "new", 0, 50)}, listed: []store.Value{value("o", "old", 1, 40)}, want: "o=new@40"},
		{name: "an owner's later value", known: []store.Value{value("o", "old", 0, 50)}, listed: []store.Value{value("o", "new", 1, 51)}, want: "o=new@51"},
		{name: "an owner's value that is missing", known: []store.Value{value("o", "new", 0, 50)}, want: ""},
		{name: "an owner's removed key is back", known: []store.Value{value("o", "a", 0, 50)}, removed: []string{"o"}, listed: []store.Value{value("o", "b", 1, 40)}, want: ""},
		{name: "an owner's removed key is written anew", known: []store.Value{value("o", "7", 0, 50)}, removed: []string{"o"}, listed: []store.Value{value("o", "8", 1, 40)}, want: "o=8@40"},
		{name: "an order of its own goes before numbers", known: []store.Value{value("o", "7", 0, 50)}, listed: []store.Value{value("o", "8", 1, 40)}, want: "o=8@40"},
		{name: "the same value again", known: []store.Value{value("o", "a", 0, 50)}, listed: []store.Value{value("o", "a", 1, 40)}, want: "o=a@40"},
		{name: "an operator's value that is missing", known: []store.Value{value("k", "a", 0, 50)}, want: "k=a@50"},
		{name: "a restriction that is missing", known: []store.Value{value("e", "a", 0, 50)}, want: "e=a@50"},
		// Guards against an order that isn't obeyed: it was given again at a lower number before the store was read.
		{name: "a restriction that was removed is back", known: []store.Value{value("e", "a", 0, 50)}, removed: []string{"e"}, listed: []store.Value{value("e", "b", 1, 40)}, want: "e=b@40"},
		{
			name: "our value that is missing", known: []store.Value{value("r", "a", 0, 50)}, want: "r=a@0",
			writes: []store.Write{{Key: "r", Data: []byte("a")}},
		},
		// Guards against hosts' values that nobody writes again: the coordinator read the copy of a host that had
		// merged them before, and missed nothing.
		{
			name: "our value that another host kept", known: []store.Value{value("r", "a", 0, 50)}, listed: []store.Value{value("r", "a", 0, 0)}, want: "r=a@0",
			writes: []store.Write{{Key: "r", Data: []byte("a")}},
		},
		{
			name: "our value that only another host knew", listed: []store.Value{value("r", "a", 0, 0)}, want: "r=a@0",
			writes: []store.Write{{Key: "r", Data: []byte("a")}},
		},
		{name: "an operator's value that another host kept", known: []store.Value{value("k", "a", 0, 50)}, listed: []store.Value{value("k", "a", 0, 50)}, want: "k=a@50"},
		{
			name: "our older value", known: []store.Value{value("r", "b", 0, 50)}, listed: []store.Value{value("r", "a", 1, 40)}, want: "r=b@40",
			writes: []store.Write{{Key: "r", Data: []byte("b"), Expect: store.NewRevision(1, 40)}},
		},
		{
			name: "our removed key is back", known: []store.Value{value("r", "b", 0, 50)}, removed: []string{"r"}, listed: []store.Value{value("r", "a", 1, 40)}, want: "",
			writes: []store.Write{{Key: "r", Data: []byte("b"), Expect: store.NewRevision(1, 40), Delete: true}},
		},
	} {
		t.Run(tst.name, func(t *testing.T) {
			knl := reconcile.NewKnowledge()
			knl.Replace(tst.known, store.NewRevision(0, 50))
			for _, key := range tst.removed {
				knl.Remove(key, store.NewRevision(0, 60))
			}
			values, writes := knl.Merge(tst.listed, policyOf, bySequence)
			assert.Equal(t, text(values), tst.want)
			assert.DeepEqual(t, writes, tst.writes)
		})
	}
}

// Guards against a second restoration undoing what was kept after the first.
func TestMergeTwiceKeepsKnowledge(t *testing.T) {
	knl := reconcile.NewKnowledge()
	knl.Set(value("k", "newest", 0, 50))
	knl.Merge([]store.Value{value("k", "older", 1, 40)}, policyOf, bySequence)
	values, _ := knl.Merge([]store.Value{value("k", "oldest", 2, 30)}, policyOf, bySequence)
	assert.Equal(t, text(values), "k=newest@30")
}

// Property: with writers whose values are numbered, no merge with any earlier state of the store returns an older
// value than the one known, or a removed key, and what is to be written is what is in force.
func TestMergeNeverGoesBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"o1", "k1", "r1", "r2"}
		state, history := map[string]store.Value{}, []map[string]store.Value{{}}
		knl := reconcile.NewKnowledge()
		for number := uint64(1); number <= uint64(rapid.IntRange(1, 40).Draw(t, "writes")); number++ {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			next := map[string]store.Value{}
			for other, val := range state {
				next[other] = val
			}
			if _, found := state[key]; found && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delete(next, key)
				knl.Remove(key, store.NewRevision(0, number))
			} else {
				next[key] = value(key, fmt.Sprint(number), 0, number)
				knl.Set(next[key])
			}
			state, history = next, append(history, next)
		}
		var listed []store.Value
		for _, val := range rapid.SampledFrom(history).Draw(t, "copy") {
			val.Revision = store.NewRevision(1, val.Revision.Number())
			listed = append(listed, val)
		}
		values, writes := knl.Merge(listed, policyOf, bySequence)
		for _, val := range values {
			assert.Equal(t, string(val.Data), string(state[val.Key].Data), val.Key)
		}
		for _, wri := range writes {
			known, found := state[wri.Key]
			assert.Equal(t, wri.Delete, !found)
			assert.Assert(t, wri.Delete || string(wri.Data) == string(known.Data))
		}
	})
}

func TestFewRemovedKeysAreRemembered(t *testing.T) {
	knl := reconcile.NewKnowledge()
	for number := uint64(1); number <= 5000; number++ {
		key := fmt.Sprint("o", number)
		knl.Set(value(key, "a", 0, number))
		knl.Remove(key, store.NewRevision(0, number))
	}
	values, _ := knl.Merge([]store.Value{value("o1", "a", 1, 1), value("o5000", "a", 1, 1)}, policyOf, bySequence)
	assert.Equal(t, text(values), "o1=a@1", "the oldest removals are forgotten")
}
