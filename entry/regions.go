package entry

import (
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
)

// checkRegions names to operators what a configuration says of regions that leaves nobody to
// serve a request. The configuration holds all the same: it is what they wrote.
func (obs *observer) checkRegions(tab *route.Table, val store.Value) {
	for _, ner := range tab.Nowhere() {
		obs.host.figures.count("RoutesWithoutRegion")
		obs.host.log.Error().Err(ner).Str("Field", ner.Field).Str("Route", ner.Route).Str("Account", ner.Account).
			Uint64("Version", tab.Version()).Uint64("Revision", uint64(val.Revision)).Msg("no region is left for requests, they are refused")
	}
	known := make(map[string]bool)
	for _, region := range obs.host.set.Regions {
		known[region] = true
	}
	for _, field := range tab.UnknownRegions(func(region string) bool { return known[region] }) {
		obs.host.figures.count("RegionsUnknown")
		obs.host.log.Error().Str("Field", field).Uint64("Version", tab.Version()).Msg("configuration names a region that no failure domain is in")
	}
}
