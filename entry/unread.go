package entry

import (
	"maps"
	"slices"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
)

// unrecognizedKeys records the keys of the store and the fields of configurations that are not
// recognized, so that operators notice on the day on which they first write one.
type unread struct {
	host   *Host
	names  boundedNames
	told   map[string]bool
	fields boundedNames
}

func newUnread(hos *Host) *unread {
	return &unread{host: hos, told: make(map[string]bool)}
}

// takeKey counts an unrecognized key by its family of keys, and logs each family once.
func (unr *unread) takeKey(val store.Value) {
	family := platform.KeyFamily(val.Key)
	if family == "" {
		family = val.Key
	}
	unr.host.figures.count("StoreKeysUnread." + unr.names.counted(family))
	if unr.told[family] || len(unr.told) >= maxUnknownLines {
		return
	}
	unr.told[family] = true
	unr.host.log.Warn().Str("Key", val.Key[:min(len(val.Key), maxNameBytes)]).Uint64("Revision", uint64(val.Revision)).Msg("a key of the store is read by nobody")
}

// recordFields counts the unrecognized fields of a configuration, and logs each once. Fields that
// are recognized but ignored are left out.
func (unr *unread) takeConfiguration(val store.Value) {
	unknown := platform.UnreadFields(val.Data)
	for _, field := range slices.Sorted(maps.Keys(unknown)) {
		if !unknown[field] {
			continue
		}
		unr.host.figures.count("ConfigurationFieldsUnread." + unr.fields.counted(field))
		if unr.told["field "+field] || len(unr.told) >= maxUnknownLines {
			continue
		}
		unr.told["field "+field] = true
		unr.host.log.Warn().Str("Field", field[:min(len(field), maxNameBytes)]).Uint64("Revision", uint64(val.Revision)).Msg("a field of the configuration is read by nobody")
	}
}
