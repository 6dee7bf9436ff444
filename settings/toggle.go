package settings

// Toggle is a setting that is on, off or unset. It is a string, so that a template may
// fill in a missing value as an empty one, which means unset.
type Toggle string

// The states of a Toggle.
const (
	ToggleDefault Toggle = ""
	ToggleOn      Toggle = "true"
	ToggleOff     Toggle = "false"
)

const wantToggle = `want "true", "false" or an empty string`

// valid reports whether the setting is one of the constants above.
func (tog Toggle) valid() bool {
	return tog == ToggleDefault || tog == ToggleOn || tog == ToggleOff
}

// Or returns the setting, or def if it is unset.
func (tog Toggle) Or(def bool) bool {
	if tog == ToggleDefault {
		return def
	}
	return tog == ToggleOn
}
