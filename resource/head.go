package resource

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/cockroachdb/errors"
)

// accountParts is over how many stored values the client accounts are spread,
// so that each stays far below the platform's limit of a megabyte.
const accountParts = 16

// changesKept is how many change ids the head remembers.
const changesKept = 64

// Head is the one value that orders configurations: it names the parts by their
// content, so one swap of the head puts all of them in force.
type Head struct {
	// Revision is the configuration's revision.
	Revision uint64
	// Parts are the stored parts, sorted by digest.
	Parts []PartRef
	// Changes are the ids of the last changes, the newest last.
	Changes []LandedChange
}

// PartRef names a stored part. A part that was dropped and comes back is stored
// anew, so that a clean-up of the former one can't take it away.
type PartRef struct {
	Digest string
	// Since is the revision that stored it.
	Since uint64
}

// LandedChange is a change that is in the configuration.
type LandedChange struct {
	ID       string
	Revision uint64
}

// Landed returns the revision in which the change took effect.
func (hea Head) Landed(changeID string) (uint64, bool) {
	for _, lan := range hea.Changes {
		if lan.ID == changeID {
			return lan.Revision, true
		}
	}
	return 0, false
}

// Part returns the reference with the digest.
func (hea Head) Part(digest string) (PartRef, bool) {
	for _, ref := range hea.Parts {
		if ref.Digest == digest {
			return ref, true
		}
	}
	return PartRef{}, false
}

// Split returns the head of the configuration and its parts by digest. The
// changes of the former head are kept, and changeID is added.
func (con Configuration) Split(former Head, changeID string) (Head, map[string][]byte, error) {
	groups := make(map[string][]Entry)
	for _, ent := range con.Entries() {
		name := partName(ent.Resource.Key())
		groups[name] = append(groups[name], ent)
	}
	parts := make(map[string][]byte, len(groups))
	hea := Head{Revision: con.Revision}
	for _, group := range groups {
		data, err := json.Marshal(group)
		if err != nil {
			return Head{}, nil, errors.Wrap(err, "encode part")
		}
		digest := Digest(data)
		parts[digest] = data
		ref, known := former.Part(digest)
		if !known {
			ref = PartRef{Digest: digest, Since: con.Revision}
		}
		hea.Parts = append(hea.Parts, ref)
	}
	slices.SortFunc(hea.Parts, func(one, two PartRef) int { return cmp.Compare(one.Digest, two.Digest) })
	hea.Changes = append(slices.Clone(former.Changes), LandedChange{ID: changeID, Revision: con.Revision})
	if over := len(hea.Changes) - changesKept; over > 0 {
		hea.Changes = hea.Changes[over:]
	}
	return hea, parts, nil
}

// Join builds the configuration of a head from its parts. It returns a
// *PartError when a part is missing or isn't what its digest says.
func Join(hea Head, parts map[string][]byte) (Configuration, error) {
	var all []Entry
	for _, ref := range hea.Parts {
		digest := ref.Digest
		data, present := parts[digest]
		if !present {
			return Configuration{}, &PartError{Digest: digest, Reason: "missing"}
		}
		if Digest(data) != digest {
			return Configuration{}, &PartError{Digest: digest, Reason: "content doesn't match the digest"}
		}
		var group []Entry
		if err := json.Unmarshal(data, &group); err != nil {
			return Configuration{}, &PartError{Digest: digest, Reason: err.Error()}
		}
		all = append(all, group...)
	}
	con := NewConfiguration(hea.Revision, all)
	if problems := con.Check(); len(problems) > 0 {
		return Configuration{}, &CheckError{Problems: problems}
	}
	return con, nil
}

// PartError reports a stored part that can't be used.
type PartError struct {
	Digest string
	Reason string
}

// Error names the part and the reason.
func (per *PartError) Error() string {
	return fmt.Sprintf("configuration part %s: %s", per.Digest, per.Reason)
}

// Digest returns the SHA-256 digest of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func partName(key Key) string {
	if key.Kind != KindClientAccount {
		return string(key.Kind)
	}
	hsh := fnv.New32a()
	_, _ = hsh.Write([]byte(key.Name))
	return fmt.Sprintf("%s-%d", key.Kind, hsh.Sum32()%accountParts)
}
