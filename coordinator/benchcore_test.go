package coordinator

import (
	"fmt"
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

const benchGateway, benchSelf request.Epoch = 1, 2

func benchReserve(unique string, account int) reservation.Reserve {
	pre := request.Prefix{View: 1, Epoch: benchGateway, Window: 1}
	return reservation.Reserve{
		ID: request.ID{Prefix: pre, Unique: unique}, Ballot: request.Ballot{Holder: benchGateway}, Service: "menus", Rank: 10,
		Account: fmt.Sprintf("account-%d", account), PromptTokens: 1000, MaxTokens: 40, Remaining: time.Hour,
	}
}

// saturatedCore returns a coordinator without a free slot and with waitingCount
// reservations in its queue.
func saturatedCore(waitingCount, engines int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	cor := New(Config{Self: benchSelf})
	entries := []resource.Entry{{Resource: resource.Service{Name: "menus", Protocol: resource.ProtocolModel, MaxWaiting: 1 << 20}}}
	for num := range engines {
		entries = append(entries, resource.Entry{Resource: resource.Engine{
			Name: fmt.Sprintf("engine-%d", num), Service: "menus", Slots: 1, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	cor.Handle(now, ConfigurationChanged{Configuration: resource.NewConfiguration(1, entries)})
	cor.Handle(now, ViewChanged{View: view.View{Number: 1, Members: []view.Member{
		{Name: "host-1", Epoch: benchGateway, Domain: "a", Draining: true}, {Name: "host-2", Epoch: benchSelf, Domain: "b"},
	}}})
	now = now.Add(time.Second)
	for num := range engines + waitingCount {
		cor.Handle(now, Received{From: benchGateway, Message: benchReserve(fmt.Sprintf("w%d", num), num%50)})
	}
	return cor, now
}

// scheduleOnce reserves one request and releases one slot, which is then granted to
// another request.
func scheduleOnce(cor *Core, now time.Time, number int) {
	cor.Handle(now, Received{From: benchGateway, Message: benchReserve(fmt.Sprintf("n%d", number), number%50)})
	for name, ens := range cor.engines {
		for id := range ens.held {
			rel := reservation.Release{ID: id, Ballot: request.Ballot{Holder: benchGateway}, Engine: name, Dispatched: true}
			cor.Handle(now, Received{From: benchGateway, Message: rel})
			return
		}
	}
}
