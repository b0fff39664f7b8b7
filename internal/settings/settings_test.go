package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `{"nodeName":"n","ipAddress":"10.1.0.13","zone":"z","listenAddresses":{"frontend":"10.1.0.13:8388","readiness":"10.1.0.13:8384"},
"internalPorts":[7560,7575],"seedNodes":["10.2.0.13:8381","10.1.0.13:8381"],"unknown":{"a":1},
"bounds":{"drain":"2500ms","grace":"6s","configApply":"2500ms","retryBudgetRatio":0.2,"retryWindow":"10s","retryBudgetSlack":62,"quotaWindow":"5s","quotaSlack":20}}`

func load(t *testing.T, text string, listeners ...string) (*Settings, error) {
	p := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(p, listeners...)
}

// Load accepts a valid file, and rejects each corrupted copy of it with a single-line error that
// names the field at fault.
func TestLoad(t *testing.T) {
	s, err := load(t, validSettings, "frontend", "readiness")
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.Grace.D() != 6*time.Second || s.InternalAddress(2) != "10.1.0.13:7562" || strings.Join(s.SeedIPs(), " ") != "10.1.0.13 10.2.0.13" {
		t.Errorf("wrong values: %+v", s)
	}
	for want, c := range map[string][2]string{
		"nodeName":                      {`"nodeName":"n",`, ``},
		"ipAddress":                     {`"ipAddress":"10.1.0.13"`, `"ipAddress":"here"`},
		"internalPorts":                 {`[7560,7575]`, `[7560]`},
		"five ports":                    {`[7560,7575]`, `[7560,7562]`},
		"seedNodes":                     {`["10.2.0.13:8381","10.1.0.13:8381"]`, `[]`},
		"bounds.grace":                  {`"grace":"6s",`, ``},
		`"6 s"`:                         {`"grace":"6s"`, `"grace":"6 s"`},
		"bounds.retryWindow":            {`"retryWindow":"10s"`, `"retryWindow":"0s"`},
		"internalPorts: unexpected str": {`[7560,7575]`, `"7560"`},
		"frontend":                      {`"frontend":"10.1.0.13:8388",`, ``},
		"settings file":                 {validSettings, `{`},
	} {
		_, err := load(t, strings.Replace(validSettings, c[0], c[1], 1), "frontend")
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want a single line containing %s, got %v", want, err)
		}
	}
	withDuties := strings.Replace(strings.Replace(validSettings, `"quotaSlack":20`, `"quotaSlack":20,"lease":"3s","thawSlack":"300ms","usageWindow":"5s","usageDelay":"10s"`, 1),
		`"bounds":`, `"cloudApi":{"address":"10.9.0.1:80","duties":["usage_report","scaling"],"dutiesPerS":50},"bounds":`, 1)
	if s, err := load(t, withDuties); err != nil || !s.HasDuty(DutyUsage) || !s.HasDuty(DutyScaling) {
		t.Fatal(err)
	}
	for want, c := range map[string][2]string{
		"bounds.lease: must be greater than thawSlack": {`"lease":"3s"`, `"lease":"300ms"`},
		"bounds.lease: missing":                        {`"lease":"3s",`, ``},
		"bounds.usageWindow":                           {`"usageWindow":"5s"`, `"usageWindow":"0s"`},
		"bounds.usageDelay":                            {`,"usageDelay":"10s"`, ``},
		"cloudApi.address":                             {`"address":"10.9.0.1:80",`, ``},
	} {
		_, err := load(t, strings.Replace(withDuties, c[0], c[1], 1))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want a single line containing %s, got %v", want, err)
		}
	}
	if _, err := Load(""); err == nil {
		t.Error("Load accepted an empty path")
	}
}
