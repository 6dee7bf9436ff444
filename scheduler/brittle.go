package scheduler

import "time"

// The engines of a service may be brittle at times: then they let fewer requests wait, and one that has to reject
// too many within a second falls over. Meanwhile no request is granted that would have to wait at an engine, and
// one that has rejected a request gets a pause.

const (
	// brittleFor is how long a service counts as brittle after an engine's last word of it: answers arrive all
	// the time while the service is in use.
	brittleFor = 3 * time.Second
	// brittlePause is how long a brittle engine gets no requests after it has rejected one: the time in which
	// its rejections count.
	brittlePause = time.Second
)

// markBrittle records that an engine of the service is brittle.
func (svc *service) markBrittle(now time.Time) {
	svc.brittleUntil = now.Add(brittleFor)
	svc.setEngineQueue(0)
}

// isBrittle reports whether the service's engines count as brittle.
func (svc *service) isBrittle(now time.Time) bool {
	return now.Before(svc.brittleUntil)
}

// expireBrittle lets requests wait at engines again once none has been brittle for a while.
func (svc *service) expireBrittle(now time.Time) {
	if svc.engineQueue < maxEngineQueue && !svc.isBrittle(now) {
		svc.setEngineQueue(maxEngineQueue)
	}
}

// setEngineQueue sets how many requests an engine may be granted beyond its slots.
func (svc *service) setEngineQueue(count int) {
	if svc.engineQueue == count {
		return
	}
	svc.engineQueue = count
	for _, ene := range svc.engines {
		ene.updateRoom()
	}
}

// pauseBrittle gives an engine that has rejected a request a pause if it is brittle.
func (svc *service) pauseBrittle(now time.Time, ene *engine) {
	if svc.isBrittle(now) {
		ene.pausedUntil = now.Add(brittlePause)
	}
}
