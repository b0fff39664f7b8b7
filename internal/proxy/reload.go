package proxy

import (
	"os"

	"slateridge/internal/settings"
)

// readSettingsFingerprint tells one state of the settings file from another; 0 if there is none.
func (d *Daemon) readSettingsFingerprint() int64 {
	fi, err := os.Stat(d.settingsPath)
	if err != nil {
		return 0
	}
	return fi.ModTime().UnixNano() ^ fi.Size()
}

// reloadIfChanged reloads a settings file that has changed.
func (d *Daemon) reloadIfChanged() {
	if is := d.readSettingsFingerprint(); is != 0 && d.settingsFingerprint.Swap(is) != is {
		d.Reload()
	}
}

// Reload reads the settings again; a file that cannot be used changes nothing.
func (d *Daemon) Reload() {
	set, err := settings.Load(d.settingsPath, "frontend", "readiness")
	if err != nil {
		d.events.Record("settings_refused", err.Error())
		return
	}
	d.nodeSettings.Store(set)
	d.subscriber.Add(set.SeedIPs())
	d.events.Record("settings", "read again")
}
