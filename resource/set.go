package resource

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/format"
)

// Set holds the resources of one file.
type Set struct {
	Tiers          []Tier          `json:",omitempty"`
	Services       []Service       `json:",omitempty"`
	Engines        []Engine        `json:",omitempty"`
	ClientAccounts []ClientAccount `json:",omitempty"`
}

// ParseSet decodes the HuJSON content of a file of resources. It returns a *format.FieldError
// with the line if the content is invalid.
func ParseSet(file string, data []byte) (Set, error) {
	var set Set
	if err := format.Decode(file, data, &set); err != nil {
		return Set{}, err
	}
	return set, nil
}

// Resources returns the set's resources in the order of Kinds.
func (set Set) Resources() []Resource {
	var all []Resource
	for _, tie := range set.Tiers {
		all = append(all, tie)
	}
	for _, ser := range set.Services {
		all = append(all, ser)
	}
	for _, eng := range set.Engines {
		all = append(all, eng)
	}
	for _, acc := range set.ClientAccounts {
		all = append(all, acc)
	}
	return all
}

// Entry is a resource with the revision that last changed it.
type Entry struct {
	// Revision is the configuration revision of the last change.
	Revision uint64
	// Resource is the state that operators declared.
	Resource Resource
}

// entryJSON is the stored form of an Entry.
type entryJSON struct {
	Kind     Kind
	Revision uint64
	Spec     json.RawMessage
}

// MarshalJSON encodes the entry with its kind.
func (ent Entry) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(ent.Resource)
	if err != nil {
		return nil, errors.Wrap(err, "encode resource")
	}
	return json.Marshal(entryJSON{Kind: ent.Resource.Key().Kind, Revision: ent.Revision, Spec: spec})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (ent *Entry) UnmarshalJSON(data []byte) error {
	var raw entryJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(err, "decode entry")
	}
	res, err := DecodeSpec("entry", raw.Kind, raw.Spec)
	if err != nil {
		return err
	}
	*ent = Entry{Revision: raw.Revision, Resource: res}
	return nil
}

// DecodeSpec decodes one resource of the kind. It returns a *KindError if the kind is unknown
// and a *format.FieldError if a field is invalid. file is the name that the error states.
func DecodeSpec(file string, kin Kind, data []byte) (Resource, error) {
	switch kin {
	case KindService:
		return decodeAs[Service](file, data)
	case KindEngine:
		return decodeAs[Engine](file, data)
	case KindTier:
		return decodeAs[Tier](file, data)
	case KindClientAccount:
		return decodeAs[ClientAccount](file, data)
	default:
		return nil, &KindError{Text: string(kin)}
	}
}

func decodeAs[T Resource](file string, data []byte) (Resource, error) {
	var res T
	if err := format.Decode(file, data, &res); err != nil {
		return nil, err
	}
	return res, nil
}
