package admission

import (
	"hash/fnv"
	"time"

	"slateridge/internal/transport"
)

type (
	// GrantRequest is sent by a proxy to a tracker, with one entry per key.
	GrantRequest struct {
		Proxy   string
		Wants   []KeyRequest
		Echo    TrackerTime   // latest tracker time that the proxy has received
		Proxies int           // live proxy count that the proxy uses
		Life    uint64        // incarnation of the proxy's process; 0 if not stated
		Sent    time.Duration // send time by the clock of the proxy's process
	}
	// Grants answers a GrantRequest.
	Grants struct {
		Refused bool // the receiving machine is not the tracker of a key, or not ready yet
		Given   []KeyGrant
		Stamp   TrackerTime
		Retell  bool // a newer request arrived first, so the shares must be reported again
	}
	// TrackerTime is a time on one tracker's clock. A loan is valid for a fixed
	// period from the time that its proxy echoes. The proxy sends the report later
	// than that, so its share is still reduced when the loan expires at the tracker,
	// however long the message is in transit.
	TrackerTime struct {
		Life  uint64
		At    time.Duration
		Begun uint64 // number of shards taken over in this incarnation
	}
)

func init() {
	transport.Register(transport.NameQuotaRequest, GrantRequest{})
	transport.Register(transport.NameQuotaGrants, Grants{})
}

// Shard returns the tracker shard that a throttle key hashes to.
func Shard(key string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % uint32(max(1, shards)))
}
