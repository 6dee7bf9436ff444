package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// PathDump is where the metrics address answers with the host's state.
const PathDump = "/dump"

// Dump is the state of a host.
type Dump struct {
	Host  string
	Epoch string
	// Ready says why the host takes no requests; empty where it does.
	NotReady string
	// Version is the configuration in force, Age how long ago it was last known
	// to be current.
	Version uint64
	Age     string
	Members []fleet.Member
	Engines []fleet.Engine
	// Notices are what engines have said of themselves to this host, and holds.
	Notices []NoticeDump `json:",omitempty"`
	// Coordinator is the epoch of the host that decides; Own says that it is this one.
	Coordinator string
	Own         bool
	// Sessions are the coordinators that are reached, Gateways the hosts that this
	// one's scheduler serves.
	Sessions []string
	Gateways []string
	// Waiting and Held count the host's own requests.
	Waiting   int
	Held      int
	Tasks     []string
	Scheduler scheduler.Dump
	// Evacuations are the failure domains that are being emptied.
	Evacuations []evacuation.Dump `json:",omitempty"`
}

// NoticeDump is what an engine has said of itself to this host.
type NoticeDump struct {
	Engine fleet.EngineID
	Says   string
	// Left is for how much longer a wish for a pause holds.
	Left string `json:",omitempty"`
	// PerSecond is the rate that it takes; nil where it names none.
	PerSecond *float64 `json:",omitempty"`
}

// Dump returns the host's state.
func (hos *Host) Dump() Dump {
	now := hos.clock.Now()
	bel := hos.belief.Load()
	_, why := hos.ready(now)
	dum := Dump{
		Host: hos.set.Name, Epoch: hos.epoch.String(), NotReady: why, Age: hos.age(now).String(),
		Members: bel.members, Tasks: hos.tasks.Names(),
	}
	if bel.table != nil {
		dum.Version = bel.table.Version()
	}
	for _, eng := range bel.engines {
		dum.Engines = append(dum.Engines, eng)
	}
	for _, not := range hos.notices.current() {
		one := NoticeDump{Engine: not.Run, Says: not.Word.String()}
		switch wrd := not.Word.(type) {
		case fleet.Pause:
			one.Left = wrd.Left.String()
		case fleet.RateLimit:
			one.PerSecond = &wrd.PerSecond
		}
		dum.Notices = append(dum.Notices, one)
	}
	hos.desk.dump(now, &dum)
	return dum
}

func (des *desk) dump(now time.Time, dum *Dump) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	dum.Coordinator, dum.Own = des.active.String(), des.active == des.host.epoch
	for _, lin := range des.links {
		dum.Sessions = append(dum.Sessions, lin.member.Name)
	}
	for _, inb := range des.inbound {
		dum.Gateways = append(dum.Gateways, inb.name)
	}
	dum.Waiting, dum.Held = len(des.tickets), len(des.holds)
	dum.Scheduler = des.core.Dump(now)
	if des.inCharge() {
		des.evacuations.SetHosts(des.senders())
	}
	dum.Evacuations = des.evacuations.Dump(des.core.RunningIn)
}

func (hos *Host) serveDump(wri http.ResponseWriter, _ *http.Request) {
	data, err := json.Marshal(hos.Dump())
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	// A reader that has left can't be told anything more.
	_, _ = wri.Write(data)
}
