package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAgeIsWhatIsMissingOfAUsualPatience(t *testing.T) {
	age := newAges()
	const patience = 12 * time.Second
	for range usualTries - 1 {
		assert.Equal(t, age.note("r", patience), time.Duration(0))
	}
	assert.Equal(t, age.note("r", 9*time.Second), time.Duration(0), "nothing is usual yet")
	assert.Equal(t, age.note("r", patience), time.Duration(0))
	assert.Equal(t, age.note("r", 9100*time.Millisecond), 2900*time.Millisecond)
	assert.Equal(t, age.note("other", 9100*time.Millisecond), time.Duration(0), "another route's callers")
	assert.Equal(t, age.note("r", 0), time.Duration(0), "a caller that tells nothing")
	assert.Equal(t, age.note("r", 15*time.Second), time.Duration(0), "longer than any usual one")
}

// Callers of one route may differ in their patience; those of the shorter one aren't
// taken for others that have waited.
func TestShorterPatienceThatIsUsualIsAFirstTry(t *testing.T) {
	age := newAges()
	for range usualTries {
		age.note("r", 12*time.Second)
		age.note("r", 5*time.Second)
	}
	assert.Equal(t, age.note("r", 5*time.Second), time.Duration(0))
	assert.Equal(t, age.note("r", 4*time.Second), time.Second)
	assert.Equal(t, age.note("r", 7*time.Second), 5*time.Second)
}

// Callers that met a host without power come back after the same time, some of them
// in the same millisecond. That doesn't make them first tries.
func TestLaterTriesThatGatherStayLaterTries(t *testing.T) {
	age := newAges()
	for range 10 * usualShare * usualTries {
		age.note("r", 12*time.Second)
	}
	for range usualTries {
		assert.Equal(t, age.note("r", 11*time.Second), time.Second)
	}
}

// A route's callers get another patience: it becomes the usual one.
func TestPatienceThatChanges(t *testing.T) {
	age := newAges()
	for range 100 * maxCounted {
		age.note("r", 12*time.Second)
	}
	for range maxCounted / usualShare {
		age.note("r", 5*time.Second)
	}
	assert.Equal(t, age.note("r", 5*time.Second), time.Duration(0))
	assert.Equal(t, age.note("r", 4*time.Second), time.Second)
}

// Whatever is told, first tries among it are never taken to have waited, once known.
func TestFirstTriesHaveNoAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := newAges()
		const patience = 12 * time.Second
		for range usualTries {
			age.note("r", patience)
		}
		for range rapid.IntRange(0, 200).Draw(t, "tries") {
			told := time.Duration(rapid.Int64Range(-1, int64(patience/time.Millisecond)).Draw(t, "told")) * time.Millisecond
			had := age.note("r", told)
			assert.Assert(t, had >= 0 && had <= patience)
			assert.Equal(t, age.note("r", patience), time.Duration(0))
		}
	})
}
