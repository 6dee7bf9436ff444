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

// boundedNames are names that others make up, no more than a few.
type boundedNames struct {
	names map[string]bool
}

// counted returns by which name something is counted.
func (bon *boundedNames) counted(name string) string {
	name = name[:min(len(name), maxNameBytes)]
	if !bon.names[name] && len(bon.names) >= maxUnknownNames {
		return "Others"
	}
	if bon.names == nil {
		bon.names = make(map[string]bool)
	}
	bon.names[name] = true
	return name
}

// unknownHeaders are the headers of engines' answers that this program doesn't know. A new
// word of engines is seen by them on the day on which it first comes.
type unknownHeaders struct {
	host  *Host
	mutex sync.Mutex
	names boundedNames
	told  map[unknownHeader]bool
}

// unknownHeader is a header as the engines of a service first used it.
type unknownHeader struct {
	name    string
	service string
}

func newUnknownHeaders(hos *Host) *unknownHeaders {
	return &unknownHeaders{host: hos, told: make(map[unknownHeader]bool)}
}

// take counts the headers of an answer that nobody reads, and tells of each once a service.
func (unk *unknownHeaders) take(hrd upstream.Heard) {
	for _, name := range hrd.Head.Unknown {
		unk.host.figures.count("UnknownHeaders." + unk.counted(name))
		unk.tell(hrd, name[:min(len(name), maxNameBytes)])
	}
}

// counted returns by which name a header is counted.
func (unk *unknownHeaders) counted(name string) string {
	unk.mutex.Lock()
	defer unk.mutex.Unlock()
	return unk.names.counted(name)
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
