package entry

import (
	"maps"
	"slices"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
)

// unrecognizedKeys records the keys of the store and the fields of configurations that are not
// recognized, so that operators notice when they first write one.
type unrecognizedKeys struct {
	host   *Host
	names  boundedNames
	logged map[string]bool
	fields boundedNames
}

func newUnrecognizedKeys(hos *Host) *unrecognizedKeys {
	return &unrecognizedKeys{host: hos, logged: make(map[string]bool)}
}

// recordKey counts an unrecognized key by its family of keys, and logs each family once.
func (unr *unrecognizedKeys) recordKey(val store.Value) {
	family := platform.KeyFamily(val.Key)
	if family == "" {
		family = val.Key
	}
	unr.host.metrics.count("StoreKeysUnread." + unr.names.metricName(family))
	if unr.logged[family] || len(unr.logged) >= maxUnrecognizedLines {
		return
	}
	unr.logged[family] = true
	unr.host.log.Warn().Str("Key", val.Key[:min(len(val.Key), maxNameBytes)]).Uint64("Revision", val.Revision.Number()).Msg("unrecognized key in the store")
}

// recordFields counts the unrecognized fields of a configuration, and logs each once. Fields that
// are recognized but ignored are left out.
func (unr *unrecognizedKeys) recordFields(val store.Value) {
	unknown := platform.UnusedFields(val.Data)
	for _, field := range slices.Sorted(maps.Keys(unknown)) {
		if !unknown[field] {
			continue
		}
		unr.host.metrics.count("ConfigurationFieldsUnread." + unr.fields.metricName(field))
		if unr.logged["field "+field] || len(unr.logged) >= maxUnrecognizedLines {
			continue
		}
		unr.logged["field "+field] = true
		unr.host.log.Warn().Str("Field", field[:min(len(field), maxNameBytes)]).Uint64("Revision", val.Revision.Number()).Msg("unrecognized field in the configuration")
	}
}
