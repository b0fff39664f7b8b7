package proxy

import (
	"os"

	"slateridge/internal/settings"
)

// readSettingsFingerprint returns a value that changes with the settings file's modification
// time or size, or 0 if the file cannot be read.
func (d *Daemon) readSettingsFingerprint() int64 {
	info, err := os.Stat(d.settingsPath)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano() ^ info.Size()
}

// reloadIfChanged reloads the settings file if it has changed.
func (d *Daemon) reloadIfChanged() {
	if fingerprint := d.readSettingsFingerprint(); fingerprint != 0 && d.settingsFingerprint.Swap(fingerprint) != fingerprint {
		d.Reload()
	}
}

// Reload reads the settings file again. An invalid file leaves the current settings in place.
func (d *Daemon) Reload() {
	nodeSettings, err := settings.Load(d.settingsPath, "frontend", "readiness")
	if err != nil {
		d.events.Record("settings_refused", err.Error())
		return
	}
	d.nodeSettings.Store(nodeSettings)
	d.subscriber.AddPeers(nodeSettings.SeedIPs())
	d.events.Record("settings", "read again")
}
