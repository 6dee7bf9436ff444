package entry

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
)

// Guards against an order that is published while a host sends to the domain that left shortly before the order: it was known
// by its entry alone, or by its session alone, and isn't present any more when the order is read.
func TestOrderWaitsForHostsThatLeftBefore(t *testing.T) {
	const left = request.Epoch(7)
	for name, leave := range map[string]func(*Host, []fleet.Member){
		"registered": func(hos *Host, own []fleet.Member) {
			hos.broker.updateMembership(membership{members: append(slices.Clone(own), fleet.Member{Name: "left", Epoch: left})})
			hos.broker.updateMembership(membership{members: own})
		},
		"session alone": func(hos *Host, own []fleet.Member) {
			hos.broker.updateMembership(membership{members: own})
			hos.broker.SessionLost(hos.broker.SessionUp(peer.Header{Epoch: left, Name: "left"}, peer.NewQueue(), func() {}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			hos, _ := newHostInFleet(t, 1)
			leave(hos, []fleet.Member{{Name: hos.set.Name, Epoch: hos.epoch}})
			bro := hos.broker
			bro.setEvacuations([]evacuation.StoredState{{Order: evacuation.Order{Domain: "d1", Revision: 7}}})
			var dum Dump
			bro.dump(hos.clock.Now(), &dum)
			assert.Equal(t, len(dum.Evacuations), 1)
			assert.Assert(t, slices.Contains(dum.Evacuations[0].Missing, left.String()), "%v", dum.Evacuations[0].Missing)
		})
	}
}
