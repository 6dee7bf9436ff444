package entry

import (
	"context"
	"os"
	"time"

	"lynxwell.dev/lynxwell/settings"
)

// settingsInterval is how often the settings file is looked at: a change need not
// come with a signal, and nothing in it is more urgent than a few seconds.
const settingsInterval = 2 * time.Second

// Reload reads the settings file again; settings that can't be used are refused
// whole, and the last good ones stay.
func (hos *Host) Reload(why string) {
	set, err := settings.LoadEntry(hos.cfg.SettingsFile)
	if err != nil {
		hos.log.Error().Err(err).Str("Why", why).Msg("settings refused, the last good ones stay")
		return
	}
	former := hos.bounds.Swap(&set.Bounds)
	changed := *former != set.Bounds
	hos.log.Info().Str("Why", why).Bool("Changed", changed).Interface("Bounds", set.Bounds).Msg("settings reloaded")
}

// followSettings reloads the settings when the file has changed.
func (hos *Host) followSettings(ctx context.Context) error {
	if hos.cfg.SettingsFile == "" {
		return nil
	}
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	seen := hos.settingsTime()
	for {
		select {
		case <-tick.C:
			if at := hos.settingsTime(); !at.Equal(seen) {
				seen = at
				hos.Reload("file changed")
			}
		case <-hos.cfg.Hangups:
			seen = hos.settingsTime()
			hos.Reload("signal")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settingsTime returns when the file was written; zero where it can't be read,
// which a reload then reports.
func (hos *Host) settingsTime() time.Time {
	info, err := os.Stat(hos.cfg.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
