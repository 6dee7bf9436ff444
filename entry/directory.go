package entry

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/route"
)

// keepAddresses is how long callers may keep an answer with addresses; some keep
// it three times as long, which a planned stop waits for.
const keepAddresses = time.Second

// plainTimeout bounds the reading of a question that has no body.
const plainTimeout = 3 * time.Second

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: plainTimeout, IdleTimeout: time.Minute}
}

func (hos *Host) readyHandler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != platform.PathReady {
			wri.WriteHeader(http.StatusNotFound)
			return
		}
		if ready, why := hos.ready(hos.clock.Now()); !ready {
			http.Error(wri, why, http.StatusServiceUnavailable)
			return
		}
		wri.WriteHeader(http.StatusOK)
	})
}

func (hos *Host) directoryHandler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != platform.PathAddresses {
			wri.WriteHeader(http.StatusNotFound)
			return
		}
		hos.awaitBegun(req.Context())
		addresses := hos.addresses(hos.clock.Now(), platform.DecodeAddressesQuery(req))
		if len(addresses) == 0 {
			http.Error(wri, "no host takes requests", http.StatusServiceUnavailable)
			return
		}
		data, err := platform.EncodeAddresses(addresses, keepAddresses)
		if err != nil {
			http.Error(wri, err.Error(), http.StatusInternalServerError)
			return
		}
		wri.Header().Set("Content-Type", "application/json")
		// A caller that has left can't be told anything more.
		_, _ = wri.Write(data)
	})
}

// addresses returns where a caller is sent: to the hosts of its region, or of those that may
// hold its requests, that have an entry, but for those that the coordinator doesn't reach. A
// host that leaves, or whose knowledge is too old to act on, names only others: they may know
// better, and an old answer serves callers better than none.
func (hos *Host) addresses(now time.Time, query platform.AddressesQuery) []netip.AddrPort {
	bel := hos.belief.Load()
	if bel.table == nil {
		return nil
	}
	takes := !hos.draining.Load() && hos.trusted(now)
	byRegion := make(map[string][]netip.AddrPort)
	var all []netip.AddrPort
	for _, mem := range bel.members {
		if mem.Epoch == hos.epoch && !takes || hos.desk.isAbsent(mem.Epoch) {
			continue
		}
		region := hos.set.Regions[mem.Domain]
		byRegion[region] = append(byRegion[region], mem.CallerAddress)
		all = append(all, mem.CallerAddress)
	}
	sco := bel.table.HostRegions(query.Host)
	for _, regions := range regionsInOrder(sco, query.Region) {
		if found := inRegions(byRegion, regions); len(found) > 0 {
			return found
		}
	}
	if sco.Bounded {
		return nil
	}
	return all
}

// regionsInOrder returns the regions whose hosts a caller is to use, the best first: its own
// where requests to the host name may be held there, then the others where they may be. Its own
// comes last where they may not: no other host holds what that one does.
func regionsInOrder(sco route.Scope, own string) [][]string {
	if !sco.Bounded || slices.Contains(sco.Regions, own) {
		return [][]string{{own}, sco.Regions}
	}
	return [][]string{sco.Regions, {own}}
}

func inRegions(byRegion map[string][]netip.AddrPort, regions []string) []netip.AddrPort {
	var found []netip.AddrPort
	for _, region := range regions {
		found = append(found, byRegion[region]...)
	}
	return found
}
