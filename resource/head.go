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

// accountChunks is the number of chunks over which the client accounts are distributed, so
// that each chunk stays far below the platform's limit of 1 MB per value.
const accountChunks = 16

// maxRememberedChanges is the number of change ids that the head stores.
const maxRememberedChanges = 64

// Head is the value stored on the platform that determines the current configuration. The
// resources are stored as chunks, each under a key of its own. Since the head lists the
// chunks, replacing the head replaces the complete configuration at once.
type Head struct {
	// Revision is the configuration's revision.
	Revision uint64
	// Chunks are the references to the chunks, sorted by digest.
	Chunks []ChunkRef `json:"Parts"`
	// Changes are the most recent changes, at most 64, newest last.
	Changes []WrittenChange
}

// ChunkRef refers to a stored chunk. Its key on the platform includes the revision, so that
// a chunk whose content recurs is stored under a new key and isn't deleted by a pending
// cleanup of the old one.
type ChunkRef struct {
	// Digest is the SHA-256 digest of the chunk in hexadecimal.
	Digest string
	// Since is the revision of the configuration that stored the chunk.
	Since uint64
}

// WrittenChange is a change that has been written to the configuration.
type WrittenChange struct {
	// ID is the id of the change.
	ID string
	// Revision is the configuration's revision after the change.
	Revision uint64
}

// ChangeRevision returns the revision of the change with the id, and whether the head lists
// it.
func (hea Head) ChangeRevision(changeID string) (uint64, bool) {
	for _, chg := range hea.Changes {
		if chg.ID == changeID {
			return chg.Revision, true
		}
	}
	return 0, false
}

// Chunk returns the reference to the chunk with the digest, if the head has one.
func (hea Head) Chunk(digest string) (ChunkRef, bool) {
	for _, ref := range hea.Chunks {
		if ref.Digest == digest {
			return ref, true
		}
	}
	return ChunkRef{}, false
}

// Split encodes the configuration as a head and its chunks by digest. The head lists the
// changes of the previous head, followed by changeID. A chunk that the previous head lists
// keeps its reference.
func (con Configuration) Split(previous Head, changeID string) (Head, map[string][]byte, error) {
	groups := make(map[string][]Entry)
	for _, ent := range con.Entries() {
		name := chunkName(ent.Resource.Key())
		groups[name] = append(groups[name], ent)
	}
	chunks := make(map[string][]byte, len(groups))
	hea := Head{Revision: con.Revision}
	for _, group := range groups {
		data, err := json.Marshal(group)
		if err != nil {
			return Head{}, nil, errors.Wrap(err, "encode part")
		}
		digest := Digest(data)
		chunks[digest] = data
		ref, known := previous.Chunk(digest)
		if !known {
			ref = ChunkRef{Digest: digest, Since: con.Revision}
		}
		hea.Chunks = append(hea.Chunks, ref)
	}
	slices.SortFunc(hea.Chunks, func(one, two ChunkRef) int { return cmp.Compare(one.Digest, two.Digest) })
	hea.Changes = append(slices.Clone(previous.Changes), WrittenChange{ID: changeID, Revision: con.Revision})
	if excess := len(hea.Changes) - maxRememberedChanges; excess > 0 {
		hea.Changes = hea.Changes[excess:]
	}
	return hea, chunks, nil
}

// Join decodes the configuration of a head from its chunks. It returns a *ChunkError if a
// chunk is missing, doesn't match its digest or can't be decoded, and a *CheckError if the
// configuration is invalid.
func Join(hea Head, chunks map[string][]byte) (Configuration, error) {
	var all []Entry
	for _, ref := range hea.Chunks {
		digest := ref.Digest
		data, present := chunks[digest]
		if !present {
			return Configuration{}, &ChunkError{Digest: digest, Reason: "missing"}
		}
		if Digest(data) != digest {
			return Configuration{}, &ChunkError{Digest: digest, Reason: "content doesn't match the digest"}
		}
		var group []Entry
		if err := json.Unmarshal(data, &group); err != nil {
			return Configuration{}, &ChunkError{Digest: digest, Reason: err.Error()}
		}
		all = append(all, group...)
	}
	con := NewConfiguration(hea.Revision, all)
	if problems := con.Check(); len(problems) > 0 {
		return Configuration{}, &CheckError{Problems: problems}
	}
	return con, nil
}

// ChunkError reports a missing or invalid chunk.
type ChunkError struct {
	// Digest is the expected digest of the chunk.
	Digest string
	// Reason states what is wrong.
	Reason string
}

// Error returns the digest and the reason.
func (cer *ChunkError) Error() string {
	return fmt.Sprintf("configuration part %s: %s", cer.Digest, cer.Reason)
}

// Digest returns the SHA-256 digest of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// chunkName returns the name of the chunk that holds the resource. Each kind has one chunk,
// except client accounts, which are distributed by a hash of their names.
func chunkName(key Key) string {
	if key.Kind != KindClientAccount {
		return string(key.Kind)
	}
	hsh := fnv.New32a()
	_, _ = hsh.Write([]byte(key.Name))
	return fmt.Sprintf("%s-%d", key.Kind, hsh.Sum32()%accountChunks)
}
