package admission

import (
	"hash/fnv"
	"time"

	"slateridge/internal/transport"
)

type (
	// GrantRequest brings a proxy's wants to a tracker.
	GrantRequest struct {
		Proxy   string
		Wants   []KeyRequest
		Echo    TrackerTime   // the tracker's latest that has reached the proxy
		Proxies int           // the live count the proxy reckons with
		Life    uint64        // incarnation of the proxy's process; 0 is not stated
		Sent    time.Duration // by that process's clock
	}
	// Grants answers a GrantRequest.
	Grants struct {
		Refused bool // the machine asked does not track, or not yet
		Given   []KeyGrant
		Stamp   TrackerTime
		Retell  bool // the request was overtaken by a newer one: its shares are to be reported again
	}
	// TrackerTime is a moment on one tracker's clock. A loan is good for a time after
	// the moment its proxy echoes: the proxy sent it later than that, so it
	// still keeps its share lowered when the loan ends here, however long its
	// message was under way.
	TrackerTime struct {
		Life  uint64
		At    time.Duration
		Begun uint64 // how often in this incarnation a shard has been taken over
	}
)

func init() {
	transport.Register(transport.NameQuotaRequest, GrantRequest{})
	transport.Register(transport.NameQuotaGrants, Grants{})
}

// Shard is the tracker duty a throttle key hashes to, of so many.
func Shard(key string, of int) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % uint32(max(1, of)))
}
