// Package constants defines the constants of the system with their units. A comment gives
// the reason for a value where it is not obvious. Values that depend on the deployment are
// in its settings instead.
package constants

import "time"

// Ports, as offsets into the settings' internalPorts.
const (
	PortControl           = 0 // control plane messages
	PortControlAdmin      = 1 // status and metrics of a control machine
	PortProxyAdmin        = 2 // status and metrics of a proxy
	PortControlMembership = 3 // membership datagrams of control machines
	PortProxyMembership   = 4 // membership datagrams of proxies
)

// Messages between the system's own processes, and limits of a process.
const (
	MaxFrameBytes            = 4 << 20                 // well above the largest configuration, well below a process's memory
	DialTimeout              = 150 * time.Millisecond  // several round trips between zones; a dead machine does not answer at all rather than refuse
	CallTimeout              = 800 * time.Millisecond  // longer than an fsync on a slow disk, shorter than the second that a caller waits
	TCPUserTimeout           = 1500 * time.Millisecond // a connection is closed after data has been unacknowledged for this long (TCP_USER_TIMEOUT); also the idle time before keep-alive probes
	SendQueueLength          = 256                     // messages; a peer that does not read loses its connection, so that the queue does not exhaust memory
	ConnBufferBytes          = 2 << 10                 // in each direction; most messages are a tenth of it, and longer ones bypass the buffer
	MaxKeptEncodeBufferBytes = 16 << 10                // a larger encoding buffer is not kept for the next message
	RedialDelay              = 50 * time.Millisecond   // between connection attempts to a peer that does not answer
	MemoryLimitFraction      = 0.7                     // of the machine's memory limit, from which the garbage collector works harder; the rest is for memory that it does not count
	EventLogCapacity         = 256                     // events; enough to show the course of an incident
)

// Chain and view.
const (
	ChainTick               = 50 * time.Millisecond   // step of the state machine; well below all durations that follow
	HeartbeatInterval       = 250 * time.Millisecond  // between control machines
	RelayHeartbeatInterval  = 500 * time.Millisecond  // a relay asks one control machine at a time, in turn
	RelayHeartbeatMaxAge    = 3 * time.Second         // a relay redirects no caller to a control machine whose last answer is older; six requests, so that several may be lost
	MemberTimeout           = 1000 * time.Millisecond // four missed heartbeats; longer than an fsync on a slow disk
	ProposalStagger         = 300 * time.Millisecond  // additional wait per rank of a member, so that proposals rarely collide
	PromiseTimeout          = 120 * time.Millisecond  // wait for the third promise after the second
	RoundTimeout            = 700 * time.Millisecond  // of one round of agreement; the next one uses a higher ballot
	JoinReportInterval      = 20 * time.Second        // between reports of a machine that is waiting to join; far longer than a join takes
	JoinDelay               = 400 * time.Millisecond  // a returned machine joins after it has sent heartbeats for this long
	ChainRetransmitInterval = 300 * time.Millisecond  // a state, order or read request that was not acknowledged is sent again
	SubmitTimeout           = 900 * time.Millisecond  // an operator's client tries the next machine after a second without an answer
	ViewStartupDelay        = 2500 * time.Millisecond // processes start at different times, so silence shortly after the start does not indicate a failure
	APIRequestTimeout       = 30 * time.Second        // for reading a request to the system's own interfaces, and for writing its response; a configuration of MaxConfigBytes takes 12 s over 2 Mbit/s
	MaxConfigBytes          = 3 << 20                 // fits into a frame between processes
	ConfigParseBatch        = 8                       // items of a configuration that are parsed before other goroutines run; a fraction of a millisecond
	ChainBytesPerSecond     = 4 << 20                 // rate at which a state moves down the chain, including fsync and encoding
	MaxEvacuationIDs        = 16                      // latest order IDs kept per zone; twice the eight that may be in progress, and a caller asks about its order within SubmitTimeout
	MaxTrackedEvacuations   = 256                     // evacuation orders whose arrival a head tracks in a view; many times the number in progress, 4 KB
	MaxLedgerEntries        = 1024                    // configurations whose version and checksum are kept; a quarter of a day at 4,300 changes a day, 12 KB
	ContactMaxAge           = 2 * time.Second         // a peer's confirmation that it received a heartbeat proves contact in both directions for this long: a request and an answer at HeartbeatInterval each, over links of 250 ms, with two of them lost
	ContactCheckInterval    = 300 * time.Millisecond  // an order waits this long before a machine out of contact redirects its caller, since the view may be changing
	VoterRetireDelay        = 60 * time.Second        // a voter that is out of the view for this long leaves the electorate: longer than a machine takes to start, since a change of the electorate costs a second without leases
	LeaveTimeout            = 1500 * time.Millisecond // wait of a leaving machine for a view without it: a member timeout and a round, well within any grace period
	StallThreshold          = 600 * time.Millisecond  // a longer gap between two steps means that the process was paused; twelve steps, and longer than an fsync on a slow disk
	StallRecoveryTime       = 1000 * time.Millisecond // after a pause the process's knowledge of its peers is outdated: it proposes nothing and takes no order, whose caller may have disconnected long ago
	CallerCheckDelay        = 20 * time.Millisecond   // an evacuation order waits this long before the check that its caller is still connected, so that a disconnect that arrived with it has been read
	PeerExpiry              = 60 * time.Second        // a control machine that is no voter is sent nothing after this long without a message from it
	RetireRequestTimeout    = 10 * time.Second        // an operator's request to retire a voter is retried for this long
)

// Leases of duties that one machine holds at a time.
const (
	LeaseDuration           = 800 * time.Millisecond // a successor has to poll well within the drain bound, and keys wait for their tracker
	LeaseMargin             = 250 * time.Millisecond // a grantor keeps a grant this much longer than the holder counts on it
	LeaseTick               = 100 * time.Millisecond // step of the state machine; half of LeaseRenewInterval
	LeaseRenewInterval      = 200 * time.Millisecond // four attempts within a lease, each several round trips between regions
	LeaseStagger            = 200 * time.Millisecond // additional wait per rank of a machine before it claims a lease
	LeaseReservationTime    = 400 * time.Millisecond // a duty that a stopping machine gives up is reserved for its successor; two of the successor's requests
	TrackerShardsPerFailure = 3                      // shards of rate-limit keys per machine failure that is tolerated
)

// Duties at the cloud platform.
const (
	DutyLeaseMargin        = 60 * time.Millisecond  // an action starts only with this much of the lease left, to allow for a slow step and a late timer
	DutyTick               = 50 * time.Millisecond  // step of the state machine
	DutyOrderRetryInterval = 300 * time.Millisecond // an order without a visible effect is sent again; several passes down a chain with slow disks
	DutyCallSpacing        = 25 * time.Millisecond  // minimum between two calls of a duty
	DutyRateFraction       = 0.4                    // of dutiesPerS for each duty; a successor's calls may fall into the same second
	DutyCallTimeout        = 3 * time.Second        // the platform may be slower than usual by a factor of dozens
	DutyRetryDelay         = 150 * time.Millisecond // after a failed call; doubles with every further failure
	DutyMaxRetryDelay      = 1200 * time.Millisecond
	DutyMaxFailures        = 60      // consecutive failures, over a minute, after which the next action precedes one that the platform rejects
	DutyRecentHolders      = 8       // holders that are remembered, to detect one that returns
	MaxDutyBodyBytes       = 1 << 20 // body of an action; 40,000 tenants with names of ten letters
	MaxNameBytes           = 256     // name of a proxy or tenant in messages between processes
)

// Usage.
const (
	UsageSnapshotInterval    = time.Second                                   // the holder saves all counts
	UsageSaveInterval        = UsageSnapshotInterval / UsageSavesPerSnapshot // the holder saves the reports received since the last save; this bounds what is lost if it fails together with the proxies that sent them
	UsageSavesPerSnapshot    = 5                                             // reports are a few bytes each, a snapshot is much larger
	UsageReportTimeout       = 800 * time.Millisecond                        // for the holder's answer
	UsageMaxUnsettledWindows = 24                                            // unsettled windows that a proxy keeps; two minutes
	UsageHandoverBatch       = 200                                           // proxy incarnations per message when a holder hands over its counts
	UsageMaxTenants          = 200_000                                       // in one report
	UsageMaxCount            = 1 << 40                                       // requests of a tenant in a window; a larger count is invalid
	UsageProxyTimeout        = 2500 * time.Millisecond                       // a proxy that is silent for longer is not waited for; two missed heartbeats
)

// Autoscaling. Package autoscale describes the algorithm.
const (
	ScaleReportInterval    = time.Second             // between a proxy's reports of running requests
	ScaleReportMaxAge      = 2500 * time.Millisecond // older reports are ignored; two and a half intervals
	ScaleTrendWindow       = 3 * time.Second         // over which an increase of the load is measured
	ScaleTrendWeight       = 0.5                     // fraction of the increase extrapolated to the end of an instance's boot time; noise also looks like an increase
	ScaleTargetUtilization = 0.5                     // of all slots; a burst of half as much again fits without an order
	ScaleUpUtilization     = 0.62                    // above it more instances are ordered; load that varies by less than a quarter orders nothing
	ScaleDownUtilization   = 0.40                    // below it instances are given up
	ScaleSmoothingWindow   = time.Second             // over which the load is averaged, since the number of running requests fluctuates
	ScaleDownMaxFraction   = 0.25                    // of the instances, given up at a time
	ScaleDownCooldown      = 1500 * time.Millisecond // between the last change and the next decrease
	ScaleMaxServices       = 1024                    // in one report
	ScaleMaxRequests       = 1 << 20                 // requests of a service at one proxy; a larger count is invalid
)

// Wall clock.
const (
	ClockSampleMaxAge = 5 * time.Second // older samples of other clocks are left out of the median
	ClockSettlingTime = 3 * time.Second // a process adopts the time of the others at once for this long after its start
	ClockMaxSlewRate  = 0.002           // maximum adjustment as a fraction of the elapsed time: far above the drift of steady clocks, and 20 ms while clocks are wrong for ten seconds
	MinWallClock      = 1e18            // nanoseconds since 1970, in 2001; an earlier time means that the clock is not set
)

// Distribution of updates to the data plane.
const (
	SubscribeInterval          = 400 * time.Millisecond  // heartbeat on the connection to the content source
	SubscribeIntervalOtherZone = 1200 * time.Millisecond // on the other connections: changes are pushed at once, and a heartbeat only shows that the connection works
	SubscriptionCount          = 3                       // control machines in contact with a majority that a proxy subscribes to; more cost messages, with fewer the loss of one leaves a gap
	StateHistoryLength         = 8                       // configurations and lists kept as a base for deltas; several polls
	SubscriptionTimeout        = 1800 * time.Millisecond // a connection without an answer for this long is dropped
	ProxyExpiry                = 60 * time.Second        // a proxy that is silent for this long is removed from the live count
	StartupUpdateMaxAge        = 3 * time.Second         // an older update does not count as current when a proxy starts
	RosterInterval             = time.Second             // control machines send each other the proxies that they know
	RosterRefreshInterval      = 2 * time.Second         // a proxy whose status has not changed is reported this often; well within the time after which the directory drops it
	RosterSharesRounds         = 5                       // rounds between two lists of all proxies that hold a share, if the list has not changed
	RosterOtherRegionRounds    = 3                       // rounds between two reports to other regions, because of narrow links; still within LocationMaxAge
	RosterStartupDelay         = 3 * time.Second         // at the first start of a deployment the live count is sent only after all proxies have had time to connect
	PollDrainFraction          = 0.25                    // of the drain bound, between two polls of the platform's list: one poll may be lost and the next one slow, and all proxies are still updated within the bound
	ListNumberStride           = 1 << 32                 // a new reader of the list continues at a random number in the next range of this size
	BootReadStagger            = 300 * time.Millisecond  // control machines that start together without a list read it one after the other at this distance; about the time for a long list at the platform's rate limit
	BootReadRetryDelay         = time.Second             // after a boot read that failed, since the platform may be at its rate limit or down
	BootReadCheckInterval      = 50 * time.Millisecond   // between checks whether the list has arrived or the machine's turn has come
	SelfPollRateFraction       = 0.25                    // of the platform's rate limit, for all proxies out of contact together
	PollPageSize               = 50                      // assumed entries per call; only used for pacing polls
	MaxListPages               = 1000                    // of the platform's list; a longer list is taken as endless
	MaxListPageBytes           = 4 << 20                 // far above the size of any page
	PollTimeout                = 1200 * time.Millisecond // two poll intervals
	StartupSearchTime          = time.Second             // after the first message a starting proxy looks for a control machine in contact with a majority for this long before it takes state that may be outdated; several dials and requests, well within the contact and configApply bounds
	PullDelay                  = 120 * time.Millisecond  // a change that another connection announced is fetched there if it has not arrived after this long
	SelfPollDelay              = 4 * time.Second         // a proxy polls the platform itself after this long without a message from a control machine in contact
	SelfPollInterval           = 3 * time.Second         // minimum; all proxies share the platform's rate limit
)

// Forwarding.
const (
	RequestBufferBytes           = 64 << 10                // of a request body, kept so that the request can be retried; longer bodies are streamed
	ResponseBufferBytes          = 256 << 10               // of a response, kept so that a truncated one can be replaced before the client sees any of it
	ConnectTimeout               = 250 * time.Millisecond  // many round trips; an upstream that takes longer is down or unreachable
	UpstreamIdleTimeout          = 4 * time.Second         // of upstream connections without a Keep-Alive header that allows more
	UpstreamIdleMargin           = 1500 * time.Millisecond // an idle connection is closed this long before the upstream would close it
	MaxConnectionsFraction       = 0.8                     // of maxConnections, used by all proxies together
	PreferredUpstreams           = 16                      // of a service, near ones first, used before any other: with few requests over many upstreams every request would need a new connection, and learned delays would not last
	UpstreamConcurrency          = 2                       // minimum limit for the requests of one proxy at an upstream that answers at its usual speed; with few proxies the limit is twice the proxy's share of the slots
	SlowUpstreamConcurrency      = 1                       // the same for a slow upstream; with few proxies the limit is the proxy's share
	SlowFactor                   = 2.5                     // times the usual delay; an upstream above it is slow
	DefaultUpstreamDelay         = 80 * time.Millisecond   // assumed until an upstream has answered
	DelayWeight                  = 0.2                     // of a new response in the moving average
	ReportedLoadMaxAge           = time.Second             // older load reports of an upstream are ignored
	DelayDecayTime               = 6 * time.Second         // time constant with which the learned delay of an upstream decays
	SelectionNoise               = 0.15                    // so that proxies with the same data do not all select the same upstream
	ColdOverloadProbability      = 1e-7                    // accepted at each start of an upstream, that so many proxies select it that they could exceed its bound
	ColdRequestInterval          = 1100 * time.Millisecond // between two requests of one proxy to a cold upstream; longer than the second over which they are counted
	WarmupFactor                 = 1.6                     // cost of an upstream that is warming up, since it is slow
	FullUpstreamBackoff          = 80 * time.Millisecond   // an upstream that rejected a request for lack of capacity is not used for this long
	MaxIdlePerUpstream           = 4                       // idle connections
	MaxDials                     = 4                       // upstreams that could not be reached before a request fails
	ResponseReturnTime           = 15 * time.Millisecond   // time for a response to reach its client, over a link between zones and with a busy processor
	AcceptRetryDelay             = 20 * time.Millisecond   // after a failed accept
	SettingsPollInterval         = time.Second             // between checks whether the settings file has changed
	StepInterval                 = 100 * time.Millisecond  // of a proxy's control connections and duties
	IdleScanInterval             = 500 * time.Millisecond  // between scans for expired idle connections
	BaseEjectionTime             = 500 * time.Millisecond  // after a failure; doubles with every further failure
	MaxEjectionTime              = 8 * time.Second         // before an upstream is tried again
	CancelGrace                  = 200 * time.Millisecond  // an idempotent request continues for this long after its client has disconnected: if it completes, its connection can be reused, while a new one may take a slot; with HangupCheckInterval within the half second in which the work has to end
	LagThreshold                 = 250 * time.Millisecond  // without a step, a process is lagging; just over two steps
	LagRecoveryTime              = time.Second             // after a lag, within which everything that had arrived has been read
	HangupCheckInterval          = 100 * time.Millisecond  // between checks for a disconnected client on a socket that is not being read during a request
	UpstreamDeadlineGrace        = 30 * time.Millisecond   // past the deadline, so that a 504 of the upstream itself arrives and the connection can be reused
	ResponseWriteGrace           = 5 * time.Second         // past its deadline a response that its client does not read is aborted; longer than any pause of a client that still reads
	MaxBytesWithoutWriteDeadline = 16 << 10                // of a response, written without a deadline since they fit into a socket buffer
	RetryRatioFraction           = 0.75                    // of the retry ratio that is used; the rest covers windows that are offset against each other
	RetrySlackFraction           = 0.5                     // of the retry slack that is divided among the proxies
	LatencySamples               = 64                      // responses from which a service's latency is estimated: few enough to follow changes, enough for stuck requests not to matter
	LatencyQuantile              = 0.9                     // upper quantile of the latency estimate; the lower one is 1 - LatencyQuantile
	SlowMedianFactor             = 3                       // times the median latency, below which a response is never unusually late, however little latencies vary
	SlowQuantileFactor           = 2                       // times the upper quantile, likewise, however much latencies vary
	LatencyEstimateInterval      = 100 * time.Millisecond  // between two estimates of a service's latency, which is not estimated anew for each request
	RetryAfterFraction           = 1.0 / 3                 // of a client's remaining time, the maximum that Retry-After asks it to wait
	ShutdownAcceptTime           = 2500 * time.Millisecond // after SIGTERM, while the platform may still send connections; just over two missed readiness checks
	ShutdownReserve              = 700 * time.Millisecond  // of the grace period, for leaving
	HeaderTimeout                = 3 * time.Second         // unless the configuration sets a limit
	RevocationMargin             = 400 * time.Millisecond  // of the bound on revoked keys, for clock drift and a slow step
	IdleTimeout                  = 15 * time.Second        // unless the configuration sets a limit
	IdleCloseMargin              = 5 * time.Second         // an idle connection is kept this much longer than its limit, since a request in transit when it closes is lost
	MaxHeaderBytes               = 64 << 10                // unless the configuration sets a limit
	RefusalLinger                = 500 * time.Millisecond  // a client that continues to send a refused header is read for this long; several round trips, in which the refusal reaches it
	DefaultTimeBudget            = 30 * time.Second        // of a request whose client states none
)

// Streams.
const (
	StreamBufferBytes        = 4 << 10                 // of a stream that are read before they are forwarded
	StreamIdleTimeout        = 2 * time.Second         // a client gives up a stream that is silent for this long
	StreamIdleTimeoutTargets = 4                       // the same in target latencies; the longer of the two applies
	StreamWriteTimeout       = 5 * time.Second         // a stream is aborted if its client reads nothing for this long
	AffinityUpstreams        = 3                       // that serve one prefix, in an order that is the same on all proxies
	AffinityMaxLoad          = 0.7                     // of an upstream's slots; at this load the next upstream for the prefix is tried
	StreamMaxLoad            = 2.5                     // of an upstream's slots, in progress and queued, from which it is sent no stream: it queues only a few more than it processes, and may abort what it cannot queue
	ReportedLoadDecayTime    = 1500 * time.Millisecond // time constant with which an upstream's reported load decays to the service's mean
	StreamOtherZoneMargin    = 0.3                     // of the slots, by which another zone has to be less loaded to be selected
	StreamSelectionNoise     = 0.1                     // of the slots, so that proxies with the same data do not all select the same upstream
)

// Admission.
const (
	SplitFraction           = 0.8                     // of a key's rate that is divided by the live proxy count; trackers grant the rest
	GrantDuration           = time.Second             // a grant expires this long after its request
	LongGrantDuration       = 10 * time.Second        // a standby rate expires this long after its grant; longer than all control machines take to restart
	StandbyReserveFraction  = 0.1                     // of the quota of a tracker-only key, lent whole and never granted as standby: with the tracked part it serves requests while a new tracker does not know the standby rates in use
	StandbyBasicFraction    = 0.25                    // of a share lent whole that its proxy uses without a grant while no tracker answers: demand is not known after a loss of all trackers, and the rest is distributed by demand
	StandbyDelay            = 1200 * time.Millisecond // a proxy starts to use its standby rate after this long without an answer from the tracker
	ContactTimeout          = 1000 * time.Millisecond // the tracker leaves a proxy out of its pool after this long since the tracker's time that the proxy last echoed; shorter than StandbyDelay
	ContactScanInterval     = 50 * time.Millisecond   // between a tracker's scans for lost proxies, which count as lost earlier by this much
	StandbyHeadroom         = 1.5                     // standby rate as a multiple of the observed demand, as far as the quota allows
	StandbyDepth            = 4.0                     // requests in a standby bucket: its rate bounds how it fills, and a smaller bucket refuses requests that arrive unevenly
	ContactInterval         = 400 * time.Millisecond  // maximum between two messages to a tracker
	OneOffLifetime          = 100 * time.Millisecond  // of tokens granted for waiting requests; short, so that they do not accumulate
	UnleasedFraction        = 0.2                     // of a tracker's rate, kept for sudden requests instead of being leased
	LeaseBurstTime          = 500 * time.Millisecond  // of its rate, added to a lease as burst
	SplitTimeout            = 30 * time.Second        // a proxy without contact to any control machine gives up its split share after this long; half of ProxyExpiry, after which the share is distributed to others
	MinRestartTime          = 250 * time.Millisecond  // between the end of a process and the start of its next incarnation, during which buckets already fill
	LendHeadroom            = 1.2                     // multiple of the observed demand that a proxy keeps of its split share; the rest is lent to the tracker
	MaxLentFraction         = 0.8                     // of the split share; the rest serves requests at once when the tracker is lost
	LongLoanDuration        = 9 * time.Second         // of a share that is too small to serve requests where it is: nobody needs it back sooner, and every report costs a message per key and proxy
	MinShareBurst           = 8.0                     // requests: random arrivals exhaust a smaller share while the quota has room, so it is lent whole where floors do not fit into the slack
	LoanDuration            = 1500 * time.Millisecond // a loan expires this long after its last report, so that a disconnected proxy has its share back by then
	HotKeyRate              = 8.0                     // requests per second at one proxy from which a key is hot and its rate is leased
	GrantInterval           = 250 * time.Millisecond  // between a proxy's demand reports, which also renew its grants
	MinTrackerTimeout       = 80 * time.Millisecond   // a responsive tracker answers within this or within its usual latency; other work on its machine may come first
	MaxRetryAfter           = time.Minute             // wait that a refused client is told
	TokenRetryDelay         = RedialDelay             // after a request for tokens without success, for a key that only its tracker serves
	GrantHeadroom           = 1.3                     // requested rate as a multiple of the observed demand
	PeakBurstTime           = time.Second             // of the key's rate, the size of the second bucket
	PeakRateFactor          = 2.0                     // multiple of the key's rate at which the second bucket fills
	SplitFloor              = 1.0                     // tokens: a share too small for one request holds one, as long as the quota's slack covers all of them
	SplitFloorSlackFraction = 0.9                     // of the quota's slack, available to these floors together
	DemandWeight            = 0.08                    // of the latest period in the demand average; a few quick requests of a client are no trend
	FullQuotaFraction       = 0.99                    // of a quota, taken as all of it since sums of shares are not exact
)

// Directory.
const (
	LookupTTL             = 1000 * time.Millisecond // clients may use an answer for up to three times as long; a leaving proxy accepts new connections for twice as long
	DirectoryStartupDelay = 1500 * time.Millisecond // a process that has just started has not received all reports
	LocationMaxAge        = 5 * time.Second         // a proxy without a newer report is left out of answers; longer than a report takes on the slowest path
	DirectLocationMaxAge  = 1200 * time.Millisecond // the same for a proxy that reports to this machine every SubscribeInterval; three missed reports
	DirectoryCacheTTL     = 200 * time.Millisecond  // an answer is computed anew after this long even without a new report
	DirectoryCacheEntries = 256                     // there are few zones; requests with invented ones must not exhaust memory
	MaxLookupAddresses    = 64                      // that a client accepts
	MinLookupAddresses    = 2                       // so that one remains if the other fails
	MinZoneFraction       = 0.9                     // of a zone's proxies, below which proxies of other zones are added; until then the remaining ones carry up to a ninth more load each
)

// Disk.
const (
	StoreCompactMinBytes = 4 << 20 // a smaller store file is never compacted, since that would save little
	StoreCompactFactor   = 3       // size of the file relative to the live state, beyond which it is compacted: compaction adds at most half to the bytes written, and the file and its replacement take at most four times the live state
)

// Membership.
const (
	ProbeInterval    = time.Second            // one member at a time, in turn
	ProbeTimeout     = 300 * time.Millisecond // before the member is probed through others
	IndirectProbes   = 2                      // members asked to probe on behalf of this one
	SuspicionTimeout = 8 * time.Second        // for a suspect to refute the suspicion; its message takes several probes to reach all members
	GossipOldFacts   = 2                      // of GossipFacts, picked at random from older facts
	GossipFacts      = 6                      // facts sent with each probe
)
