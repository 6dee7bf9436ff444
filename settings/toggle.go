package settings

// Toggle is a setting that is on, off or unset. The type is a string, because a template fills
// in an empty string for a value that the platform leaves out; the setting is then unset.
type Toggle string

// The states of a Toggle.
const (
	ToggleUnset Toggle = ""
	ToggleOn    Toggle = "true"
	ToggleOff   Toggle = "false"
)

const wantToggle = `want "true", "false" or an empty string`

// valid reports whether the setting is empty, "true" or "false".
func (tog Toggle) valid() bool {
	return tog == ToggleUnset || tog == ToggleOn || tog == ToggleOff
}

// Or returns the setting, or def if it is unset.
func (tog Toggle) Or(def bool) bool {
	if tog == ToggleUnset {
		return def
	}
	return tog == ToggleOn
}
