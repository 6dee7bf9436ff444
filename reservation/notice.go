package reservation

import "lynxwell.dev/lynxwell/fleet"

// EngineNotice tells a coordinator what an engine has said of itself in an answer to the
// gateway. It goes before whatever the gateway says or asks after that answer, so that the
// engine isn't granted to it again.
type EngineNotice struct {
	fleet.Notice
}

func (EngineNotice) isMessage() {}
