package coordinator

import (
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Event is an input to Handle.
type Event interface {
	isEvent()
}

// ViewChanged delivers a membership view. A view older than the current one only
// extends the history.
type ViewChanged struct{ View view.View }

// ConfigurationChanged delivers a newer configuration.
type ConfigurationChanged struct{ Configuration resource.Configuration }

// GatewayLost reports that the session with a gateway epoch is lost.
type GatewayLost struct{ Gateway request.Epoch }

// HostLost reports that this host can't reach another host.
type HostLost struct{ Host request.Epoch }

// HostUp reports that this host can reach another host again.
type HostUp struct{ Host request.Epoch }

// Received delivers a gateway's message.
type Received struct {
	From    request.Epoch
	Message reservation.Message
}

// EngineReported delivers an engine's load report, or that the platform is draining the
// engine.
type EngineReported struct {
	Engine   string
	Running  int
	Draining bool
}

// CacheChanged delivers an engine's cache events, which may be late or incomplete.
type CacheChanged struct {
	Engine  string
	Added   []uint64
	Evicted []uint64
}

// Drain reports that the host is stopping: it queues and grants nothing more.
type Drain struct{}

// Tick triggers timeouts and scheduling.
type Tick struct{}

func (ViewChanged) isEvent()          {}
func (ConfigurationChanged) isEvent() {}
func (GatewayLost) isEvent()          {}
func (HostLost) isEvent()             {}
func (HostUp) isEvent()               {}
func (Received) isEvent()             {}
func (EngineReported) isEvent()       {}
func (CacheChanged) isEvent()         {}
func (Drain) isEvent()                {}
func (Tick) isEvent()                 {}

// Action is an effect that the host must carry out.
type Action interface {
	isAction()
}

// Send sends a message to a gateway.
type Send struct {
	To      request.Epoch
	Message reservation.Message
	// Load is the load of the service that the message concerns, if any.
	Load reservation.Load
}

func (Send) isAction() {}
