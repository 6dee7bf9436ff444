package entry

import (
	"sync"

	"lynxwell.dev/lynxwell/upstream"
)

const (
	// maxUnknownNames bounds the headers that are counted by name, maxUnknownLines the lines:
	// engines may make names up.
	maxUnknownNames = 32
	maxUnknownLines = 128
	// maxNameBytes bounds what is told of a name.
	maxNameBytes = 64
)

// unknownHeaders are the headers of engines' answers that this program doesn't know. A new
// word of engines is seen by them on the day on which it first comes.
type unknownHeaders struct {
	host  *Host
	mutex sync.Mutex
	names map[string]bool
	told  map[unknownHeader]bool
}

// unknownHeader is a header as the engines of a service first used it.
type unknownHeader struct {
	name    string
	service string
}

func newUnknownHeaders(hos *Host) *unknownHeaders {
	return &unknownHeaders{host: hos, names: make(map[string]bool), told: make(map[unknownHeader]bool)}
}

// take counts the headers of an answer that nobody reads, and tells of each once a service.
func (unk *unknownHeaders) take(hrd upstream.Heard) {
	for _, name := range hrd.Head.Unknown {
		unk.host.figures.count("UnknownHeaders." + unk.counted(name[:min(len(name), maxNameBytes)]))
		unk.tell(hrd, name[:min(len(name), maxNameBytes)])
	}
}

// counted returns by which name a header is counted.
func (unk *unknownHeaders) counted(name string) string {
	unk.mutex.Lock()
	defer unk.mutex.Unlock()
	if !unk.names[name] && len(unk.names) >= maxUnknownNames {
		return "Others"
	}
	unk.names[name] = true
	return name
}

func (unk *unknownHeaders) tell(hrd upstream.Heard, name string) {
	eng, _ := unk.host.belief.Load().engine(hrd.Engine)
	key := unknownHeader{name: name, service: eng.Service}
	unk.mutex.Lock()
	defer unk.mutex.Unlock()
	if unk.told[key] || len(unk.told) >= maxUnknownLines {
		return
	}
	unk.told[key] = true
	unk.host.log.Warn().Str("Header", name).Str("Service", eng.Service).Stringer("Engine", hrd.Engine).Str("AnswerTo", hrd.Head.ID).
		Msg("engines' answers have a header that nobody reads")
}
