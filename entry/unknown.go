package entry

import (
	"sync"

	"lynxwell.dev/lynxwell/upstream"
)

const (
	// maxUnknownNames bounds the header names that are counted separately, maxUnknownLines the log
	// lines: engines may send any name.
	maxUnknownNames = 32
	maxUnknownLines = 128
	// maxNameBytes bounds the logged and counted part of a name.
	maxNameBytes = 64
)

// boundedNames is a bounded set of names that come from outside the process.
type boundedNames struct {
	names map[string]bool
}

// metricName returns the name under which an occurrence of name is counted: the name itself, or
// "Others" once there are too many names.
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

// unrecognizedHeaders records the headers in engines' answers that are not recognized, so that
// operators notice a new engine signal on the day on which it is first sent.
type unknownHeaders struct {
	host  *Host
	mutex sync.Mutex
	names boundedNames
	told  map[unknownHeader]bool
}

// unrecognizedHeader is a header that engines of a service sent.
type unknownHeader struct {
	name    string
	service string
}

func newUnknownHeaders(hos *Host) *unknownHeaders {
	return &unknownHeaders{host: hos, told: make(map[unknownHeader]bool)}
}

// record counts the unrecognized headers of an answer, and logs each once per service.
func (unr *unknownHeaders) take(hrd upstream.Heard) {
	for _, name := range hrd.Head.Unknown {
		unr.host.figures.count("UnknownHeaders." + unr.counted(name))
		unr.tell(hrd, name[:min(len(name), maxNameBytes)])
	}
}

// metricName returns the name under which a header is counted.
func (unr *unknownHeaders) counted(name string) string {
	unr.mutex.Lock()
	defer unr.mutex.Unlock()
	return unr.names.counted(name)
}

func (unr *unknownHeaders) tell(hrd upstream.Heard, name string) {
	eng, _ := unr.host.belief.Load().engine(hrd.Engine)
	key := unknownHeader{name: name, service: eng.Service}
	unr.mutex.Lock()
	defer unr.mutex.Unlock()
	if unr.told[key] || len(unr.told) >= maxUnknownLines {
		return
	}
	unr.told[key] = true
	unr.host.log.Warn().Str("Header", name).Str("Service", eng.Service).Stringer("Engine", hrd.Engine).Str("AnswerTo", hrd.Head.ID).
		Msg("answers of engines have an unrecognized header")
}
