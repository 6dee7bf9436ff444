package quarantine

import (
	"math"
	"slices"
	"time"
)

// Engines that crash at once for a reason of their own are many observations of one event. Of hundreds of traffic sources
// some are on several of them by coincidence, and each of these crashes counts as if it were independent of the others. A
// source that causes a burst of crashes has caused a part of it, so only such a source is restricted by a burst.

const (
	// burstWindow is the time within which crashes of a service may be one event: a poison request crashes its engine within
	// NewRequestAge as a rule.
	burstWindow = NewRequestAge
	// minBurst is the number of crashes within burstWindow from which they are judged together. With fewer, engines crash
	// one after another.
	minBurst = 8
	// maxBurst bounds the crashes that are judged together; the latest count.
	maxBurst = 64
	// minBurstPart is the part of a burst that a source must have caused, by its presence, to be restricted by it. Several
	// sources may crash engines at the same time.
	minBurstPart = 1.0 / 4
	// minBurstDeviations is by how many standard deviations its presence must exceed that of a source without a part: one
	// that is on half of the engines is on far more of some bursts by coincidence.
	minBurstDeviations = 2.5
)

// burst holds the latest crashes of a service within burstWindow.
type burst struct {
	crashes []burstCrash
}

// burstCrash is a crash and the sources that were present.
type burstCrash struct {
	at      time.Time
	present []Presence
}

// add adds a crash, and drops those that are too old.
func (bur *burst) add(now time.Time, present []Presence) {
	bur.crashes = slices.DeleteFunc(bur.crashes, func(cra burstCrash) bool { return now.Sub(cra.at) > burstWindow })
	if len(bur.crashes) == maxBurst {
		bur.crashes = slices.Delete(bur.crashes, 0, 1)
	}
	bur.crashes = append(bur.crashes, burstCrash{at: now, present: present})
}

// isOver reports whether a later crash doesn't belong to the burst.
func (bur *burst) isOver(now time.Time) bool {
	return len(bur.crashes) == 0 || now.Sub(bur.crashes[len(bur.crashes)-1].at) > burstWindow
}

// began returns the time of the first crash.
func (bur *burst) began() time.Time { return bur.crashes[0].at }

// attendance is how often a source was present at the crashes of a burst, and the sums of its shares of the other engines,
// by any request and by a new one.
type attendance struct {
	crashes, newCrashes int
	shares, newShares   float64
}

// innocent returns a function that reports whether a source's presence shows that it has not caused a part of the burst. It
// reports false while there is no burst.
func (bur *burst) innocent() func(src TrafficSource) bool {
	total := len(bur.crashes)
	if total < minBurst {
		return func(TrafficSource) bool { return false }
	}
	attended := make(map[TrafficSource]attendance)
	for _, cra := range bur.crashes {
		for _, pre := range cra.present {
			att := attended[pre.TrafficSource]
			if pre.HasRequest {
				att.crashes++
				att.shares += pre.RequestShare
			}
			if pre.HasNewRequest {
				att.newCrashes++
				att.newShares += pre.NewRequestShare
			}
			attended[pre.TrafficSource] = att
		}
	}
	return func(src TrafficSource) bool {
		att := attended[src]
		return !mayBeCause(att.crashes, total, att.shares) && !mayBeCause(att.newCrashes, total, att.newShares)
	}
}

// mayBeCause reports whether a source that was present at so many of the crashes may have caused a part of them: more than
// if it were present at each as it is elsewhere. The shares are the sum of its shares of the other engines.
func mayBeCause(present, total int, shares float64) bool {
	if present == 0 {
		return false
	}
	share := min(shares/float64(present), 1)
	expected := share * float64(total)
	excess := float64(present) - expected
	return excess >= minBurstPart*(float64(total)-expected) && excess >= minBurstDeviations*math.Sqrt(expected*(1-share))
}
