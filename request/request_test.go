package request_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/request"
)

func TestParseIDReportsTheInvalidPart(t *testing.T) {
	cases := map[string]struct {
		text string
		part string
	}{
		"Valid":          {"5-0193f2ab3c4d5e6f-1-tray.4711", ""},
		"HyphenInUnique": {"5-0193f2ab3c4d5e6f-1-a-b-c", ""},
		"Empty":          {"", "id"},
		"NoUnique":       {"5-0193f2ab3c4d5e6f-1-", "unique part"},
		"InvalidView":    {"05-0193f2ab3c4d5e6f-1-a", "view"},
		"InvalidEpoch":   {"5-0193F2AB3C4D5E6F-1-a", "epoch"},
		"ShortEpoch":     {"5-0193-1-a", "epoch"},
		"InvalidWindow":  {"5-0193f2ab3c4d5e6f-x-a", "window"},
		"InvalidUnique":  {"5-0193f2ab3c4d5e6f-1-a b", "unique part"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			id, err := request.ParseID(cas.text)
			if cas.part == "" {
				assert.NilError(t, err)
				assert.Equal(t, id.String(), cas.text)
				return
			}
			var ier *request.IDError
			assert.Assert(t, errors.As(err, &ier))
			assert.Equal(t, ier.Part, cas.part)
		})
	}
}

func TestBallotsAreOrderedByRoundAndHolder(t *testing.T) {
	owner := request.Ballot{Holder: 9}
	low, high := request.Ballot{Round: 1, Holder: 3}, request.Ballot{Round: 1, Holder: 4}
	assert.Assert(t, owner.Less(low) && low.Less(high) && high.Less(request.Ballot{Round: 2, Holder: 1}))
	assert.Assert(t, !high.Less(low) && !low.Less(low) && !owner.Less(owner))
}

func FuzzParseID(f *testing.F) {
	f.Add("5-0193f2ab3c4d5e6f-1-tray")
	f.Add("18446744073709551615-ffffffffffffffff-0-:")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := request.ParseID(text)
		if err == nil {
			assert.Equal(t, id.String(), text)
		}
	})
}
