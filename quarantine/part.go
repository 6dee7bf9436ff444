package quarantine

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/call"
)

// A part of a prompt may crash each engine that begins to write an answer on it, whatever else the request holds. The
// registry keeps its case like that of a request, under a digest of its own. All requests with the part share the
// case, and so do sound parts of the same requests: an answer clears each part of its prompt.

// PartSubject returns the subject of a part of prompts to a service.
func PartSubject(service string, part uint64) Subject {
	return Subject{Digest: PartDigest(service, part), Service: service, Part: part}
}

// IsPart reports whether the subject is a part of prompts rather than a request. Clients choose the ids of parts, 0 too, so that
// the digest tells: that of a request isn't made of an id.
func (sub Subject) IsPart() bool {
	return sub.Digest == PartDigest(sub.Service, sub.Part)
}

// PartDigest returns the digest of a part of prompts to a service.
func PartDigest(service string, part uint64) call.Digest {
	hash := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = hash.Write([]byte(service))
	var dig call.Digest
	binary.BigEndian.PutUint64(dig[:8], hash.Sum64())
	binary.BigEndian.PutUint64(dig[8:], part)
	return dig
}

const (
	// maxPartHistories bounds the parts whose answers are remembered, at some 100 bytes each.
	maxPartHistories = 1 << 14
	// maxPartAnswers bounds the answers that count for a part: each crash that it is part of halves them, so that a part
	// that has become bad is found after a few more crashes than one that never was in an answer.
	maxPartAnswers = 8
)

// PartHistory remembers how many answers the parts of prompts were in lately. It isn't safe for concurrent use.
type PartHistory struct {
	answers *simplelru.LRU[call.Digest, int]
}

// NewPartHistory returns an empty history.
func NewPartHistory() *PartHistory {
	// NewLRU fails only for a size below 1.
	answers, _ := simplelru.NewLRU[call.Digest, int](maxPartHistories, nil)
	return &PartHistory{answers: answers}
}

// RecordAnswer records that a part was in an answer.
func (his *PartHistory) RecordAnswer(part call.Digest) {
	count, _ := his.answers.Get(part)
	his.answers.Add(part, min(maxPartAnswers, count+1))
}

// Suspects returns those parts of a crashed engine that are the likeliest cause: the ones that were in the fewest
// answers. It halves the answers of all of them.
func (his *PartHistory) Suspects(parts []Observation) []Observation {
	fewest := maxPartAnswers
	for _, par := range parts {
		count, _ := his.answers.Get(par.Digest)
		fewest = min(fewest, count)
	}
	var suspects []Observation
	for _, par := range parts {
		count, known := his.answers.Get(par.Digest)
		if count == fewest {
			suspects = append(suspects, par)
		}
		if known {
			his.answers.Add(par.Digest, count/2)
		}
	}
	return suspects
}
