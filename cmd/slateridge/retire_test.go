package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"slateridge/internal/controlplane"
	"slateridge/internal/controlplane/chain"
)

// The error of a refused retirement is passed on to the operator. A response that does not come
// from a control machine, and a machine that is not an IP address, give errors of their own.
func TestRetireCommand(t *testing.T) {
	answers := map[string]struct {
		code int
		body string
	}{
		"10.0.0.1": {200, `{"retired":"10.0.0.1","voters":["10.0.0.2"]}`},
		"10.0.0.2": {409, `{"error":"10.0.0.2 is running and in contact: stop it first"}`},
		"10.0.0.3": {503, `{"error":"no view without it"}`},
		"10.0.0.4": {404, `not found`},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := answers[r.URL.Query().Get("machine")]
		if r.Method != http.MethodPost || r.URL.Path != "/retire" {
			answer.code = 405
		}
		w.WriteHeader(answer.code)
		w.Write([]byte(answer.body))
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	for machine, want := range map[string]string{"10.0.0.1": "", "10.0.0.2": "stop it first", "10.0.0.3": "stays a voter", "10.0.0.4": "no control machine"} {
		err := retireCmd{Machine: machine, At: addr, Timeout: 2000}.Run()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", machine, err)
		}
	}
	var usage usageError
	if err := (retireCmd{Machine: "not-an-address", At: addr, Timeout: 2000}).Run(); !errors.As(err, &usage) {
		t.Errorf("a machine that is not an IP address: got %v, want a usage error", err)
	}
}

// The status shows the failure margin, and lists only voters that are not members or not in
// contact.
func TestShowVoters(t *testing.T) {
	var out strings.Builder
	showVoters(&out, controlplane.Report{Margin: -1, Voters: []chain.Voter{{Addr: "a", Member: true, State: "in contact"},
		{Addr: "b", State: "out of contact", Gone: 3 * time.Second, WayOut: "leaves with a successor's coming"}}})
	for _, want := range []string{"1 too few", "b\tout of contact for 3s, no member; leaves with"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q does not contain %q", out.String(), want)
		}
	}
	if strings.Contains(out.String(), "    a") {
		t.Errorf("lists a member that is in contact: %s", out.String())
	}
}
