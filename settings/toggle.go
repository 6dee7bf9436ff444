package settings

// Toggle is a setting that is on, off, or left to its default. It is a text, so
// that a template which fills in a value that doesn't exist leaves it empty.
type Toggle string

// The states of a Toggle.
const (
	ToggleDefault Toggle = ""
	ToggleOn      Toggle = "true"
	ToggleOff     Toggle = "false"
)

const wantToggle = `want "true", "false" or an empty text`

// valid reports whether the setting has a known state.
func (tog Toggle) valid() bool {
	return tog == ToggleDefault || tog == ToggleOn || tog == ToggleOff
}

// Or returns the setting, or the default where it has none.
func (tog Toggle) Or(def bool) bool {
	if tog == ToggleDefault {
		return def
	}
	return tog == ToggleOn
}
