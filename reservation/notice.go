package reservation

import "lynxwell.dev/lynxwell/fleet"

// EngineNotice passes a signal that the gateway received in an engine's response on to a
// coordinator. It is sent before every other message that follows the response, so that the
// coordinator doesn't grant the engine to the gateway once more.
type EngineNotice struct {
	fleet.Notice
}

func (EngineNotice) isMessage() {}
