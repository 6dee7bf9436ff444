package entry

import (
	"sync"

	"lynxwell.dev/lynxwell/upstream"
)

const (
	// maxUnrecognizedNames bounds the header names that are counted separately, maxUnrecognizedLines
	// the log lines: engines may send any name.
	maxUnrecognizedNames = 32
	maxUnrecognizedLines = 128
	// maxNameBytes bounds the logged and counted part of a name.
	maxNameBytes = 64
)

// boundedNames is a bounded set of names that come from outside the process.
type boundedNames struct {
	names map[string]bool
}

// metricName returns the name under which an occurrence of name is counted: the name itself, or
// "Others" once there are too many names.
func (bon *boundedNames) metricName(name string) string {
	name = name[:min(len(name), maxNameBytes)]
	if !bon.names[name] && len(bon.names) >= maxUnrecognizedNames {
		return "Others"
	}
	if bon.names == nil {
		bon.names = make(map[string]bool)
	}
	bon.names[name] = true
	return name
}

// unrecognizedHeaders records the headers in engines' answers that are not recognized, so that
// operators notice a new engine signal when it is first sent.
type unrecognizedHeaders struct {
	host   *Host
	mutex  sync.Mutex
	names  boundedNames
	logged map[unrecognizedHeader]bool
}

// unrecognizedHeader is a header that engines of a service sent.
type unrecognizedHeader struct {
	name    string
	service string
}

func newUnrecognizedHeaders(hos *Host) *unrecognizedHeaders {
	return &unrecognizedHeaders{host: hos, logged: make(map[unrecognizedHeader]bool)}
}

// record counts the unrecognized headers of an answer, and logs each once per service.
func (unr *unrecognizedHeaders) record(hrd upstream.HeadReceived) {
	for _, name := range hrd.Head.UnrecognizedHeaders {
		unr.host.metrics.count("UnknownHeaders." + unr.metricName(name))
		unr.logOnce(hrd, name[:min(len(name), maxNameBytes)])
	}
}

// metricName returns the name under which a header is counted.
func (unr *unrecognizedHeaders) metricName(name string) string {
	unr.mutex.Lock()
	defer unr.mutex.Unlock()
	return unr.names.metricName(name)
}

func (unr *unrecognizedHeaders) logOnce(hrd upstream.HeadReceived, name string) {
	eng, _ := unr.host.snapshot.Load().engine(hrd.Engine)
	key := unrecognizedHeader{name: name, service: eng.Service}
	unr.mutex.Lock()
	defer unr.mutex.Unlock()
	if unr.logged[key] || len(unr.logged) >= maxUnrecognizedLines {
		return
	}
	unr.logged[key] = true
	unr.host.log.Warn().Str("Header", name).Str("Service", eng.Service).Stringer("Engine", hrd.Engine).Str("AnswerTo", hrd.Head.ID).
		Msg("answers of engines have an unrecognized header")
}
