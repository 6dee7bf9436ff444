package entry

import (
	"context"
	"os"
	"time"

	"lynxwell.dev/lynxwell/settings"
)

// settingsInterval is how often the settings file is checked for changes made without a signal; no
// setting has to take effect within less than a few seconds.
const settingsInterval = 2 * time.Second

// Reload reads the settings file again and applies its bounds of the grace period, of revocations
// and of the renewal of secrets; all other settings apply from the next start. Invalid settings are
// refused as a whole, and the last valid ones stay in use.
func (hos *Host) Reload(reason string) {
	set, err := settings.LoadEntry(hos.cfg.SettingsFile)
	if err != nil {
		hos.log.Error().Err(err).Str("Why", reason).Msg("settings refused, keeping the last valid ones")
		return
	}
	prev := hos.bounds.Swap(&set.Bounds)
	changed := *prev != set.Bounds
	hos.log.Info().Str("Why", reason).Bool("Changed", changed).Interface("Bounds", set.Bounds).Msg("settings reloaded")
}

// watchSettings reloads the settings when the file has changed, and on each hangup signal.
func (hos *Host) watchSettings(ctx context.Context) error {
	if hos.cfg.SettingsFile == "" {
		return nil
	}
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	modified := hos.settingsModTime()
	for {
		select {
		case <-tick.C:
			if now := hos.settingsModTime(); !now.Equal(modified) {
				modified = now
				hos.Reload("file changed")
			}
		case <-hos.cfg.Hangups:
			modified = hos.settingsModTime()
			hos.Reload("signal")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settingsModTime returns when the file was last modified; zero if it can't be read, which a reload
// then reports.
func (hos *Host) settingsModTime() time.Time {
	info, err := os.Stat(hos.cfg.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
