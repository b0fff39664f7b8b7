package admissionmodel

import (
	"time"

	"slateridge/internal/admission"
)

// Messages between the model's processes.
type (
	grantCall struct {
		ID  uint64
		Ask admission.GrantRequest
	}
	grantReply struct {
		ID    uint64
		Given admission.Grants
	}
	// heartbeat is a proxy's report to control, news the answer.
	heartbeat struct {
		Sent  time.Duration // by the proxy's clock
		Count int           // the live count it reckons with
	}
	heartbeatReply struct {
		Heard   time.Duration // Sent of the heartbeat that it answers
		Count   int           // the live count; 0 to one that may not share yet
		Tracker string
	}
	// rosterSize is the live count, sent to a tracker.
	liveCount struct{ Count int }
)
