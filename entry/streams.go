package entry

import (
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// The origins of streams are kept by several hosts: the host that passes a stream on, the coordinator that granted its
// engine, and the first hosts in the order of the candidates, to which the coordinator relays it. A coordinator that is
// lost is thus replaced by a host that has them.

const (
	// streamKeepers is the number of hosts to which a coordinator relays streams.
	streamKeepers = 8
	// streamRelayInterval is how long a coordinator collects streams before it relays them.
	streamRelayInterval = 20 * time.Millisecond
)

// publishStreams passes on the streams whose first event has arrived; the mutex must be held.
func (bro *broker) publishStreams() {
	for _, bat := range bro.core.StreamsBegun() {
		bro.relayStreams(bat)
		bro.keepOrigins(bat)
	}
}

// relayStreams passes streams on to the hosts that keep them, if this host is the coordinator of others; the mutex
// must be held.
func (bro *broker) relayStreams(bat affinity.Batch) {
	if bro.servedHosts() == 1 {
		return
	}
	bro.streams.Add(bat)
	if bro.streamsScheduled {
		return
	}
	bro.streamsScheduled = true
	time.AfterFunc(streamRelayInterval, func() {
		bro.mutex.Lock()
		defer bro.mutex.Unlock()
		bro.streamsScheduled = false
		bro.sendStreams()
	})
}

// reportStream reports a stream that this host scheduled itself to the coordinator and its next candidates.
func (bro *broker) reportStream(bat affinity.Batch) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	for epo := range bro.links {
		bro.send(epo, reservation.StreamsBegan{Batch: bat})
	}
}

// sendStreams sends the streams that were collected to the hosts that keep them; the mutex must be held.
func (bro *broker) sendStreams() {
	keepers := bro.streamKeepers()
	for _, bat := range bro.streams.Take() {
		for _, inb := range keepers {
			inb.send(reservation.StreamsBegan{Batch: bat})
		}
	}
}

// streamKeepers returns the sessions of the hosts that keep streams; the mutex must be held.
func (bro *broker) streamKeepers() []*inbound {
	sessions := make(map[request.Epoch]*inbound, len(bro.inbound))
	for _, inb := range bro.inbound {
		sessions[inb.gateway] = inb
	}
	var keepers []*inbound
	for _, mem := range bro.membership.members {
		if inb := sessions[mem.Epoch]; inb != nil && len(keepers) < streamKeepers {
			keepers = append(keepers, inb)
		}
	}
	return keepers
}

// sendKnownStreams sends all streams that this host knows to a host to which a session was opened; the mutex
// must be held.
func (bro *broker) sendKnownStreams(to request.Epoch) {
	for _, bat := range bro.core.StreamBatches(bro.host.clock.Now()) {
		bro.send(to, reservation.StreamsBegan{Batch: bat})
	}
}

// sendStreamsToKeeper sends all streams that this host knows to a gateway that uses it as its coordinator, if that
// is one of the hosts that keep them; the mutex must be held.
func (bro *broker) sendStreamsToKeeper(gateway *inbound) {
	for _, inb := range bro.streamKeepers() {
		if inb != gateway {
			continue
		}
		for _, bat := range bro.core.StreamBatches(bro.host.clock.Now()) {
			inb.send(reservation.StreamsBegan{Batch: bat})
		}
	}
}
