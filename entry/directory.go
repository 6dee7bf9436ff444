package entry

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/route"
)

// addressesTTL is how long clients may cache an answer with addresses. Some cache it three times
// as long, which a planned stop allows for.
const addressesTTL = time.Second

// readHeaderTimeout bounds the reading of the headers of a request without a body.
const readHeaderTimeout = 3 * time.Second

func newPlainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute}
}

func (hos *Host) readyHandler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != platform.PathReady {
			wri.WriteHeader(http.StatusNotFound)
			return
		}
		if ready, reason := hos.ready(hos.clock.Now()); !ready {
			http.Error(wri, reason, http.StatusServiceUnavailable)
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
		hos.awaitConfigured(req.Context())
		addresses := hos.addresses(hos.clock.Now(), platform.DecodeAddressesQuery(req))
		if len(addresses) == 0 {
			http.Error(wri, "no host takes requests", http.StatusServiceUnavailable)
			return
		}
		data, err := platform.EncodeAddresses(addresses, addressesTTL)
		if err != nil {
			http.Error(wri, err.Error(), http.StatusInternalServerError)
			return
		}
		wri.Header().Set("Content-Type", "application/json")
		// The write fails only if the client has disconnected; nothing more can be sent to it.
		_, _ = wri.Write(data)
	})
}

// addresses returns the addresses of the hosts that a client may use: the registered hosts of its
// region, or of the regions that may serve its requests, except hosts that the coordinator can't
// reach. A host that is draining, or whose snapshot is too old to use, returns only other hosts:
// their snapshots may be newer, and addresses from an old snapshot are better for clients than none.
func (hos *Host) addresses(now time.Time, query platform.AddressesQuery) []netip.AddrPort {
	snp := hos.snapshot.Load()
	if snp.table == nil {
		return nil
	}
	accepts := !hos.draining.Load() && hos.isFresh(now)
	byRegion := make(map[string][]netip.AddrPort)
	var all []netip.AddrPort
	for _, mem := range snp.members {
		if mem.Epoch == hos.epoch && !accepts || hos.broker.isUnreachable(mem.Epoch) {
			continue
		}
		region := hos.set.Regions[mem.Domain]
		byRegion[region] = append(byRegion[region], mem.CallerAddress)
		all = append(all, mem.CallerAddress)
	}
	sco := snp.table.HostRegions(query.Host)
	for _, regions := range orderedRegions(sco, query.Region) {
		if found := addressesIn(byRegion, regions); len(found) > 0 {
			return found
		}
	}
	if sco.Bounded {
		return nil
	}
	return all
}

// orderedRegions returns the regions whose hosts a client is to use, the best first: the client's
// own region if it may serve requests to the host name, then the others that may. If the own region
// may not serve them, it comes last: the client sends its requests from there, so that their data
// enters no further region.
func orderedRegions(sco route.Scope, own string) [][]string {
	if !sco.Bounded || slices.Contains(sco.Regions, own) {
		return [][]string{{own}, sco.Regions}
	}
	return [][]string{sco.Regions, {own}}
}

func addressesIn(byRegion map[string][]netip.AddrPort, regions []string) []netip.AddrPort {
	var found []netip.AddrPort
	for _, region := range regions {
		found = append(found, byRegion[region]...)
	}
	return found
}
