package admissionmodel

import (
	"time"

	"slateridge/internal/admission"
)

// Messages between the model's processes.
type (
	grantCall struct {
		ID      uint64
		Request admission.GrantRequest
	}
	grantReply struct {
		ID     uint64
		Grants admission.Grants
	}
	// heartbeat is a proxy's report to control, and heartbeatReply the answer.
	heartbeat struct {
		Sent  time.Duration // by the proxy's clock
		Count int           // the live count that the proxy uses
	}
	heartbeatReply struct {
		HeartbeatSent time.Duration // Sent of the heartbeat that is answered
		Count         int           // the live count; 0 for a proxy that has not been admitted
		Tracker       string
	}
	// liveCount is the number of live proxies, sent to a tracker.
	liveCount struct{ Count int }
)
