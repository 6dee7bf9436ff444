package coordinator

import (
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Event is something that happened to the coordinator.
type Event interface {
	isEvent()
}

// ViewChanged brings a newer membership view.
type ViewChanged struct{ View view.View }

// ConfigurationChanged brings a newer configuration.
type ConfigurationChanged struct{ Configuration resource.Configuration }

// GatewayLost says that the session with a gateway epoch is lost.
type GatewayLost struct{ Gateway request.Epoch }

// HostLost says that this host can't reach another one; HostUp that it can again.
type HostLost struct{ Host request.Epoch }

// HostUp says that this host reaches another one.
type HostUp struct{ Host request.Epoch }

// Received brings a gateway's message.
type Received struct {
	From    request.Epoch
	Message reservation.Message
}

// Reported brings an engine's own load report, or what the host list says of it.
type Reported struct {
	Engine  string
	Running int
	Leaving bool
}

// CacheChanged brings an engine's cache events; late, and with gaps.
type CacheChanged struct {
	Engine  string
	Added   []uint64
	Evicted []uint64
}

// Drain says that the host stops: it keeps and grants nothing more.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (ViewChanged) isEvent()          {}
func (ConfigurationChanged) isEvent() {}
func (GatewayLost) isEvent()          {}
func (HostLost) isEvent()             {}
func (HostUp) isEvent()               {}
func (Received) isEvent()             {}
func (Reported) isEvent()             {}
func (CacheChanged) isEvent()         {}
func (Drain) isEvent()                {}
func (Tick) isEvent()                 {}

// Action is something that the coordinator wants done.
type Action interface {
	isAction()
}

// Send sends a message to a gateway.
type Send struct {
	To      request.Epoch
	Message reservation.Message
	// Load tells of the service that the message is about.
	Load reservation.Load
}

func (Send) isAction() {}
