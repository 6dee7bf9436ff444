package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

const (
	coldRate = 8.0
	coldFor  = 3 * time.Second
)

// chilly returns a desk for a service whose cold engines bear coldRate.
func chilly(engines ...fleet.Engine) *desk {
	des := newDesk()
	tab, err := route.NewTable(route.Configuration{Version: 1, Services: []route.Service{{Name: "plain", ColdFor: coldFor, ColdRate: coldRate}}})
	if err != nil {
		panic(err)
	}
	des.handle(scheduler.ConfigurationChanged{Table: tab})
	des.handle(scheduler.EnginesChanged{Engines: engines})
	return des
}

func coldEngine(des *desk, name string, left time.Duration) fleet.Engine {
	eng := plainEngine(name, 100)
	eng.ColdUntil = des.now.Add(left)
	return eng
}

// grantsOf asks so many times with a pause in between, answers at once, and counts an engine's
// grants.
func (des *desk) grantsOf(engine string, times int, pause time.Duration) int {
	count := 0
	for num := range times {
		sends := append(des.after(pause), des.reserve(plain(fmt.Sprint("ask-", des.now.UnixNano(), "-", num)))...)
		for _, snd := range sends {
			if gra, isGrant := snd.Message.(reservation.Grant); isGrant && gra.Engine == engine {
				count++
				des.release(reservation.Release{ID: gra.ID, Dispatched: true, Answered: true, Total: time.Millisecond})
			}
		}
	}
	return count
}

func TestColdEngineIsGrantedWhatItBears(t *testing.T) {
	des := chilly()
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", coldFor)}})
	count := des.grantsOf("a", 200, 10*time.Millisecond)
	assert.Assert(t, count >= 14 && count <= 21, count)
	for _, snd := range des.sends {
		if gra, isGrant := snd.Message.(reservation.Grant); isGrant {
			assert.Assert(t, gra.Cold)
		}
	}
	des.after(2 * time.Second)
	assert.Equal(t, des.grantsOf("a", 50, 0), 50, "warm")
	for _, svc := range des.core.Dump(des.now).Services {
		for _, eng := range svc.Engines {
			assert.Assert(t, eng.Rate == nil && eng.ColdFor == "", "%+v", eng)
		}
	}
}

// Warm engines go first; a cold one gets what they can't take.
func TestWarmEnginesGoFirst(t *testing.T) {
	des := chilly()
	warm := plainEngine("b", 4)
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", coldFor), warm}})
	assert.Equal(t, engineOf(des.reserve(plain("r1")), "r1"), "b")
	for num := range 8 {
		des.reserve(plain(fmt.Sprint("fills-", num)))
	}
	des.after(200 * time.Millisecond)
	assert.Assert(t, engineOf(des.sends, "fills-7") == "a" || engineOf(des.sends, "fills-5") == "a", "%+v", des.sends)
}

// An entry that is read again, and a shorter word, don't change what is known; a longer one does.
func TestLongerWordOfColdHolds(t *testing.T) {
	des := chilly()
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", time.Second)}})
	des.says(peer, "a", fleet.Cold{Left: 2 * time.Second})
	des.says(peer, "a", fleet.Cold{Left: time.Millisecond})
	des.after(1900 * time.Millisecond)
	assert.Assert(t, des.grantsOf("a", 50, 0) < 10)
	des.after(100 * time.Millisecond)
	assert.Equal(t, des.grantsOf("a", 50, 0), 50)
}

// The lower of the two rates holds, and one doesn't end with the other.
func TestLowerOfTheRatesHolds(t *testing.T) {
	des := chilly()
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", coldFor)}})
	des.says(peer, "a", fleet.RateLimit{PerSecond: 2})
	assert.Assert(t, des.countOf("a", 2, 100, 10*time.Millisecond) <= 4)
	des.says(peer, "a", fleet.Unlimited{})
	count := des.grantsOf("a", 100, 10*time.Millisecond)
	assert.Assert(t, count >= 6 && count <= 13, count)
	des.says(peer, "a", fleet.RateLimit{PerSecond: 2})
	des.after(coldFor)
	assert.Assert(t, des.countOf("a", 2, 100, 10*time.Millisecond) <= 4, "warm, with a rate")
}

// Hosts that decide for a part of all keep to their part, and one that takes over has none saved
// up.
func TestColdEnginesRateIsDivided(t *testing.T) {
	des := chilly()
	des.handle(scheduler.ShareChanged{Parts: 8, Hosts: 8, Elsewhere: true})
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", time.Hour)}})
	assert.Equal(t, des.grantsOf("a", 100, 10*time.Millisecond), 0, "another host decides")
	des.handle(scheduler.ShareChanged{Parts: 8, Hosts: 8})
	count := des.grantsOf("a", 400, 10*time.Millisecond)
	assert.Assert(t, count >= 3 && count <= 5, count)
}

// What answers at the place of an engine that ended is another run, and cold, although nothing
// in the store tells so yet.
func TestEngineThatEndedIsColdWhenItIsBack(t *testing.T) {
	des := chilly(plainEngine("a", 100), plainEngine("b", 0))
	des.handle(scheduler.Received{From: peer, Message: reservation.EngineEnded{
		ID: id("r"), Observation: quarantine.Observation{Subject: plain("r").Subject(), Engine: "a"},
	}})
	des.after(2500 * time.Millisecond)
	assert.Assert(t, des.grantsOf("a", 50, 0) <= 5)
	des.after(coldFor)
	assert.Equal(t, des.grantsOf("a", 50, 0), 50)
}

// Who can't be granted a cold engine in its time hears so at once where all are cold.
func TestAllCold(t *testing.T) {
	des := chilly()
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", coldFor), coldEngine(des, "b", coldFor)}})
	refused := 0
	for num := range 40 {
		if _, ref := decisionOn(des.reserve(plain(fmt.Sprint("r", num))), fmt.Sprint("r", num)); ref.Reason == reservation.ReasonRate {
			refused++
		}
	}
	assert.Assert(t, refused > 20, refused)
}

// A service whose operators say nothing of cold engines has none.
func TestServiceWithoutAColdRateHasNoColdEngines(t *testing.T) {
	des := newDesk()
	des.configure()
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{coldEngine(des, "a", coldFor)}})
	des.says(peer, "a", fleet.Cold{Left: time.Hour})
	assert.Equal(t, des.grantsOf("a", 50, 0), 50)
}
