package entry

import (
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
)

// checkRegions logs the regions in a configuration that are unknown, and the routes and accounts
// whose requests no region may serve. The configuration is active all the same.
func (wat *storeWatcher) checkRegions(tab *route.Table, val store.Value) {
	for _, err := range tab.RegionConflicts() {
		wat.host.metrics.count("RoutesWithoutRegion")
		wat.host.log.Error().Err(err).Str("Field", err.Field).Str("Route", err.Route).Str("Account", err.Account).
			Uint64("Version", tab.Version()).Uint64("Revision", val.Revision.Number()).Msg("configuration leaves no region for requests, they are refused")
	}
	known := make(map[string]bool)
	for _, region := range wat.host.set.Regions {
		known[region] = true
	}
	for _, field := range tab.UnknownRegions(func(region string) bool { return known[region] }) {
		wat.host.metrics.count("RegionsUnknown")
		wat.host.log.Error().Str("Field", field).Uint64("Version", tab.Version()).Msg("configuration names a region that no failure domain is in")
	}
}
