package resource_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/resource"
)

// write returns an edit that writes res, based on the revision seen.
func write(res resource.Resource, seen uint64) resource.Edit {
	return resource.Edit{Key: res.Key(), Seen: seen, Resource: res}
}

func applyEdits(t *testing.T, con resource.Configuration, edits ...resource.Edit) resource.Configuration {
	t.Helper()
	next, err := con.With(resource.Change{ID: "c", Edits: edits})
	assert.NilError(t, err)
	return next
}

func TestWithAppliesOrRejectsEdit(t *testing.T) {
	base := applyEdits(t, resource.Configuration{},
		write(resource.Tier{Name: "Normal", Rank: 1}, 0),
		write(resource.Service{Name: "menus", Protocol: resource.ProtocolModel}, 0),
	)
	cases := map[string]struct {
		edit     resource.Edit
		revision uint64
		err      string
	}{
		"Update":         {write(resource.Tier{Name: "Normal", Rank: 2}, 1), 2, ""},
		"Same":           {write(resource.Tier{Name: "Normal", Rank: 1}, 1), 1, ""},
		"Create":         {write(resource.Tier{Name: "Other"}, 0), 2, ""},
		"CreateExisting": {write(resource.Tier{Name: "Normal", Rank: 2}, 0), 0, "fields Rank; you saw revision 0, newer is 1"},
		"Stale":          {write(resource.Tier{Name: "Normal", Rank: 2}, 9), 0, "fields Rank; you saw revision 9, newer is 1"},
		"DeleteUnseen":   {resource.Edit{Key: resource.Key{Kind: resource.KindTier, Name: "Normal"}}, 0, "fields (all)"},
		"Delete":         {resource.Edit{Key: resource.Key{Kind: resource.KindTier, Name: "Normal"}, Seen: 1}, 2, ""},
		"InvalidName":    {write(resource.Tier{Name: "a b"}, 0), 0, "Tier/a b: Name"},
		"NoService":      {write(resource.Engine{Name: "e", Service: "x", Slots: 1}, 0), 0, `there is no service "x"`},
		"NoTier":         {write(resource.ClientAccount{Name: "a", Tiers: []string{"x"}}, 0), 0, `there is no tier "x"`},
		"InvalidDigest":  {write(resource.ClientAccount{Name: "a", Tiers: []string{"Normal"}, KeyDigests: []string{"x"}}, 0), 0, "KeyDigests"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			next, err := base.With(resource.Change{ID: "c", Edits: []resource.Edit{cas.edit}})
			if cas.err != "" {
				assert.ErrorContains(t, err, cas.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, next.Revision, cas.revision)
			assert.Equal(t, base.Revision, uint64(1))
		})
	}
}

func TestSplitStoresOnlyChangedChunksAndJoinRestores(t *testing.T) {
	var edits []resource.Edit
	edits = append(edits, write(resource.Tier{Name: "Normal"}, 0))
	for num := range 200 {
		edits = append(edits, write(resource.ClientAccount{Name: fmt.Sprintf("account-%d", num), Tiers: []string{"Normal"}}, 0))
	}
	first := applyEdits(t, resource.Configuration{}, edits...)
	head, chunks, err := first.Split(resource.Head{}, "one")
	assert.NilError(t, err)
	assert.Equal(t, len(head.Chunks), 17)
	joined, err := resource.Join(head, chunks)
	assert.NilError(t, err)
	assert.DeepEqual(t, joined.Entries(), first.Entries())

	second := applyEdits(t, first, write(resource.Tier{Name: "Normal", Rank: 5}, 1))
	next, _, err := second.Split(head, "two")
	assert.NilError(t, err)
	changed := 0
	for _, ref := range next.Chunks {
		if ref.Since == 2 {
			changed++
		}
	}
	assert.Equal(t, changed, 1, "only the changed chunk is stored again")
	revision, written := next.ChangeRevision("one")
	assert.Assert(t, written && revision == 1)
}

func TestJoinRejectsMissingAndAlteredChunks(t *testing.T) {
	con := applyEdits(t, resource.Configuration{}, write(resource.Tier{Name: "Normal"}, 0))
	head, chunks, err := con.Split(resource.Head{}, "one")
	assert.NilError(t, err)
	var cer *resource.ChunkError
	_, err = resource.Join(head, nil)
	assert.Assert(t, errors.As(err, &cer))
	chunks[head.Chunks[0].Digest] = []byte("[]")
	_, err = resource.Join(head, chunks)
	assert.Assert(t, errors.As(err, &cer))
}

func FuzzParseSet(f *testing.F) {
	f.Add([]byte(`{"Tiers": [{"Name": "a", "Rank": 1}], "Engines": [{"Address": "127.0.0.1:1"}]}`))
	f.Add([]byte(`{"Services": [{"DefaultDeadline": "1s"}], /* c */ "ClientAccounts": [{"Weight": 1.5}],}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := resource.ParseSet("f", data)
		var fer *format.FieldError
		if err != nil {
			assert.Assert(t, errors.As(err, &fer), "%v", err)
			return
		}
		cha := resource.Change{ID: "c"}
		for _, res := range set.Resources() {
			cha.Edits = append(cha.Edits, write(res, 0))
		}
		con, err := resource.Configuration{}.With(cha)
		if err != nil || con.Revision == 0 {
			return
		}
		head, chunks, err := con.Split(resource.Head{}, "c")
		assert.NilError(t, err)
		joined, err := resource.Join(head, chunks)
		assert.NilError(t, err)
		assert.Equal(t, len(joined.Entries()), len(con.Entries()))
	})
}
