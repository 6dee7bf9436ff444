// Package egress decides whether a host has lost its paths to all engines, and through which other hosts it
// then forwards its requests.
//
// # Usage
//
//	det := egress.NewDetector()
//	changed := det.Checked(began, egress.Result{Opened: 0, Failed: 3})
//	if det.Lost() {
//		for _, mem := range cho.Order(now, members, domain) { ... }
//	}
//
// A host whose path to an engine fails can't tell by that alone whether the engine or its own path is at
// fault. It therefore checks whether any other engine still accepts connections. Only a host that reaches
// another engine is a witness of an engine's failure.
//
// The package is pure: it uses no clock, goroutine or network. Times are passed in.
package egress

import "time"

// Path is what a host knows of its own paths to engines.
type Path uint8

const (
	// PathUnknown means that there is no other engine by which to tell.
	PathUnknown Path = iota
	// PathOpen means that an engine accepted a connection.
	PathOpen
	// PathLost means that no engine did.
	PathLost
)

// String returns the path's name in the log.
func (pth Path) String() string {
	names := [...]string{"Unknown", "Open", "Lost"}
	if int(pth) >= len(names) {
		return "Invalid"
	}
	return names[pth]
}

// minFailed is the number of engines that must not accept a connection for the path to be at fault: a
// single one may have failed itself.
const minFailed = 2

// Result counts the engines that did and didn't accept a connection in a check.
type Result struct {
	Opened int
	Failed int
}

// Path returns what the result shows.
func (res Result) Path() Path {
	switch {
	case res.Opened > 0:
		return PathOpen
	case res.Failed >= minFailed:
		return PathLost
	default:
		return PathUnknown
	}
}

// Detector tracks whether a host has lost its paths to all engines.
type Detector struct {
	lost bool
	// began is when the latest completed check began, path its result.
	began time.Time
	path  Path
}

// NewDetector returns a detector of a host that has lost no path.
func NewDetector() *Detector {
	return &Detector{}
}

// Lost reports whether the host has lost its paths to all engines.
func (det *Detector) Lost() bool {
	return det.lost
}

// Checked records the result of a check and reports whether Lost has changed. A check without a result
// changes nothing.
func (det *Detector) Checked(began time.Time, res Result) bool {
	if !began.Before(det.began) {
		det.began, det.path = began, res.Path()
	}
	return det.set(res.Path())
}

// Forwarded records that another host reached an engine that this one could not reach at the same time, and
// reports whether Lost has changed. It decides where the check had no other engine to try.
func (det *Detector) Forwarded() bool {
	return det.path == PathUnknown && det.set(PathLost)
}

func (det *Detector) set(pth Path) bool {
	if pth == PathUnknown || det.lost == (pth == PathLost) {
		return false
	}
	det.lost = pth == PathLost
	return true
}

// Since returns what a check that began at the given time or later has shown, and false if there was none.
func (det *Detector) Since(at time.Time) (Path, bool) {
	return det.path, !det.began.IsZero() && !det.began.Before(at)
}
