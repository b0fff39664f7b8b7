// Package constants holds every constant of the system, each with its unit and the
// reason for its value. Figures that a deployment states in its settings are not here.
package constants

import "time"

// Ports, as offsets into the settings' internalPorts.
const (
	PortControl           = 0 // control plane's own messages
	PortControlAdmin      = 1 // status and metrics of a control machine
	PortProxyAdmin        = 2 // status and metrics of a proxy
	PortControlMembership = 3 // datagrams between members, control machines
	PortProxyMembership   = 4 // datagrams between members, proxies
)

// Messages between own processes.
const (
	MaxFrameBytes            = 4 << 20                 // bytes; far over any configuration seen, far under a process's memory
	DialTimeout              = 150 * time.Millisecond  // several round trips between zones; a dead machine is silent, not refusing
	CallTimeout              = 800 * time.Millisecond  // longer than a slow disk's sync, shorter than a caller's second of patience
	TCPUserTimeout           = 1500 * time.Millisecond // unacknowledged bytes this long close a held connection (TCP_USER_TIMEOUT)
	SendQueueLength          = 256                     // messages; a peer that does not read loses its connection, not our memory
	ConnBufferBytes          = 2 << 10                 // bytes each way; most messages are a tenth, and long ones pass by the buffer
	MaxKeptEncodeBufferBytes = 16 << 10                // bytes of an encoding buffer kept between messages
	RedialDelay              = 50 * time.Millisecond   // between attempts at a peer that does not answer
	MemoryLimitFraction      = 0.7                     // of the machine's limit, from which the collector works harder; the rest is for what it does not count
	EventLogCapacity         = 256                     // kept events in a process's journal; enough for a trouble's story
)

// Chain and view.
const (
	ChainTick               = 50 * time.Millisecond   // the machine's step: well under every span below
	HeartbeatInterval       = 250 * time.Millisecond  // control machines send each other their state
	RelayHeartbeatInterval  = 500 * time.Millisecond  // a relay asks one control machine after the other
	RelayHeartbeatMaxAge    = 3 * time.Second         // and sends nobody to one whose answer is older: six questions, so that several may be lost
	MemberTimeout           = 1000 * time.Millisecond // four heartbeats missed, and longer than a slow disk holds a sync
	ProposalStagger         = 300 * time.Millisecond  // a later member waits this much longer, so proposals seldom clash
	PromiseTimeout          = 120 * time.Millisecond  // for the third promise once two are in
	RoundTimeout            = 700 * time.Millisecond  // one round of agreement; then a higher ballot
	JoinReportInterval      = 20 * time.Second        // a machine that waits to be taken in says so every so often: far longer than that takes
	JoinDelay               = 400 * time.Millisecond  // a returned machine must have sent heartbeats this long before it is taken in
	ChainRetransmitInterval = 300 * time.Millisecond  // a pass down the chain that brought no acknowledgement is sent again
	SubmitTimeout           = 900 * time.Millisecond  // an operator moves on after a second of silence; answer before it
	ViewStartupDelay        = 2500 * time.Millisecond // processes start unevenly; silence before this is no verdict
	APIRequestTimeout       = 30 * time.Second        // a request to our own interfaces is read, and its answer taken, within this: a configuration of ConfigMax takes 12 s over 2 Mbit/s
	MaxConfigBytes          = 3 << 20                 // bytes of a configuration; fits a frame between own processes
	ConfigParseBatch        = 8                       // items of a configuration read before other work of the process has its turn: a fraction of a millisecond
	ChainBytesPerSecond     = 4 << 20                 // bytes a second that a state moves down the chain, sync and coding included
	MaxEvacuationIDs        = 16                      // latest orders remembered by zone: twice the eight that may be under way; whoever sent one asks within SubmitWait
	MaxTrackedEvacuations   = 256                     // evacuations whose coming a head remembers in a view: many times those under way, 4 KB
	MaxLedgerEntries        = 1024                    // configurations whose number and sum are remembered: a quarter of a day at 4,300 changes a day, 12 KB
	ContactMaxAge           = 2 * time.Second         // another's report that it received from this machine so long ago still proves a path both ways: a question and an answer of HeartbeatEvery each, over links of 250 ms, with two of them lost
	ContactCheckInterval    = 300 * time.Millisecond  // an order is let wait so long before a machine out of contact sends its caller on: a view may be changing
	VoterRetireDelay        = 60 * time.Second        // a voter out of the view so long leaves the electorate: longer than a machine takes to start, and a change of electorate costs a second without leases
	LeaveTimeout            = 1500 * time.Millisecond // a leaver waits so long for the view without it: a silence and a round, well inside any grace
	StallThreshold          = 600 * time.Millisecond  // between two steps: the process stood still; twelve steps, and over a slow disk's sync
	StallRecoveryTime       = 1000 * time.Millisecond // after that its picture of the others is old: it proposes nothing, and takes no order whose caller may have gone long ago
	CallerCheckDelay        = 20 * time.Millisecond   // an evacuation waits so long to see whether its caller is still there: an end that came with it is read by then
	PeerExpiry              = 60 * time.Second        // a control machine that is no voter and silent so long is sent nothing more
	RetireRequestTimeout    = 10 * time.Second        // an operator's request to retire a voter is tried so long
)

// Leases of single duties.
const (
	LeaseDuration           = 800 * time.Millisecond // a successor must poll well inside the drain bound, and keys wait for their tracker
	LeaseMargin             = 250 * time.Millisecond // a grant outlives the holder's own reckoning by this
	LeaseTick               = 100 * time.Millisecond // the machine's step, a quarter of the renewal
	LeaseRenewInterval      = 200 * time.Millisecond // four tries inside a lease, each several round trips between regions
	LeaseStagger            = 200 * time.Millisecond // a later machine waits this much longer before it claims
	LeaseReservationTime    = 400 * time.Millisecond // a duty given up by a machine that stops is kept for its successor so long: two of its asks
	TrackerShardsPerFailure = 3                      // shards of throttle keys for each machine that may be lost
)

// Duties at the platform.
const (
	DutyLeaseMargin        = 60 * time.Millisecond  // an act begins only with this much of the lease left: a slow step, a late timer
	DutyTick               = 50 * time.Millisecond  // the machine's step
	DutyOrderRetryInterval = 300 * time.Millisecond // an order whose effect is not seen is sent again: several passes down a chain of slow disks
	DutyCallSpacing        = 25 * time.Millisecond  // least time between two calls of one duty
	DutyRateFraction       = 0.4                    // of dutiesPerS for one duty; a successor's calls may fall into the same second
	DutyCallTimeout        = 3 * time.Second        // a call without an answer is given up: the platform may be slow by dozens of times
	DutyRetryDelay         = 150 * time.Millisecond // after a call that failed; doubles
	DutyMaxRetryDelay      = 1200 * time.Millisecond
	DutyMaxFailures        = 60      // failures in a row, over a minute, after which the next act goes ahead of one the platform does not take
	DutyRecentHolders      = 8       // holders remembered, to see one that comes back
	MaxDutyBodyBytes       = 1 << 20 // bytes of an act; 40,000 tenants with names of ten letters
	MaxNameBytes           = 256     // bytes of a proxy's or tenant's name in own messages
)

// Usage.
const (
	UsageSnapshotInterval    = time.Second                                   // the holder keeps on its disk all that it has gathered
	UsageSaveInterval        = UsageSnapshotInterval / UsageSavesPerSnapshot // the holder keeps on its disk the reports that have come since: what is lost with it and with their proxies is no more
	UsageSavesPerSnapshot    = 5                                             // to each that writes all anew: reports are few bytes, the whole is not
	UsageReportTimeout       = 800 * time.Millisecond                        // for the holder's answer
	UsageMaxUnsettledWindows = 24                                            // windows a proxy keeps that nobody has settled: two minutes
	UsageHandoverBatch       = 200                                           // incarnations in one message when a holder hands on what it knows
	UsageMaxTenants          = 200_000                                       // tenants in one report
	UsageMaxCount            = 1 << 40                                       // requests of one tenant in a window; more is garbage
	UsageProxyTimeout        = 2500 * time.Millisecond                       // a proxy silent so long is not waited for: it has missed two heartbeats
)

// Scaling; the law stands in package autoscale.
const (
	ScaleReportInterval    = time.Second             // a proxy's report of what runs
	ScaleReportMaxAge      = 2500 * time.Millisecond // a report older than two and a half of them counts for nothing
	ScaleTrendWindow       = 3 * time.Second         // over which a rise is measured
	ScaleTrendWeight       = 0.5                     // part of the rise until a boot ends that is believed: noise rises too
	ScaleTargetUtilization = 0.5                     // part of all places to be taken: a burst of half as much again fits without an order
	ScaleUpUtilization     = 0.62                    // part taken from which more are ordered: load that wavers by less than a quarter orders nothing
	ScaleDownUtilization   = 0.40                    // and below which fewer are
	ScaleSmoothingWindow   = time.Second             // over which the load is averaged: single requests come and go
	ScaleDownMaxFraction   = 0.25                    // at most this part is given up at a time
	ScaleDownCooldown      = 1500 * time.Millisecond // between two times
	ScaleMaxServices       = 1024                    // services in one report
	ScaleMaxRequests       = 1 << 20                 // requests of a service at one proxy; more is garbage
)

// Time of day.
const (
	ClockSampleMaxAge = 5 * time.Second // a clock last received longer ago does not count in the median
	ClockSettlingTime = 3 * time.Second // a process so young takes over what others have agreed on
	ClockMaxSlewRate  = 0.002           // of the time that passes, by which the agreed time is drawn at most: far over what steady clocks drift, and 20 ms while clocks are off for ten seconds
	MinWallClock      = 1e18            // nanoseconds since 1970, 2001: a clock before it is no clock
)

// News to the data plane.
const (
	SubscribeInterval          = 400 * time.Millisecond  // heartbeat on the held connection in the own zone
	SubscribeIntervalOtherZone = 1200 * time.Millisecond // on the others: changes are pushed on them at once, and a heartbeat only shows that the connection stands
	SubscriptionCount          = 3                       // control machines a proxy subscribes to that are in contact with a majority; more cost messages, fewer leave a gap when one goes
	StateHistoryLength         = 8                       // configurations and lists kept to send differences from: several polls
	SubscriptionTimeout        = 1800 * time.Millisecond // a connection that answered nothing so long is dropped
	ProxyExpiry                = 60 * time.Second        // a proxy silent so long leaves the live count
	StartupUpdateMaxAge        = 3 * time.Second         // news older than this is not "known to be current" at start
	RosterInterval             = time.Second             // control machines send each other the proxies they know
	RosterRefreshInterval      = 2 * time.Second         // a proxy of which nothing is new is reported so often: well inside the time after which the directory drops it
	RosterSharesRounds         = 5                       // turns between the names of all that share, when none has changed
	RosterOtherRegionRounds    = 3                       // times as long between reports to other regions: narrow links, and still inside PlaceFresh
	RosterStartupDelay         = 3 * time.Second         // at the very first start the count is sent only after all had time to come
	PollDrainFraction          = 0.25                    // of the drain bound, between two readings of the platform's list: one may be lost and the next be slow, and all proxies be told within it
	ListNumberStride           = 1 << 32                 // a new reader of the list begins in the next such span, at a number drawn by lot
	BootReadStagger            = 300 * time.Millisecond  // control machines that start together and know no list read it one after the other, so far apart: about what a long list takes at the platform's rate
	BootReadRetryDelay         = time.Second             // after such a reading that failed: the platform may be at its rate, or away
	BootReadCheckInterval      = 50 * time.Millisecond   // whether the list has come, or the turn
	SelfPollRateFraction       = 0.25                    // of the platform's rate that proxies out of touch use together
	PollPageSize               = 50                      // entries reckoned for a call; only paces reading
	MaxListPages               = 1000                    // pages of the platform's list; more is a list without an end
	MaxListPageBytes           = 4 << 20                 // bytes of a page; far over any
	PollTimeout                = 1200 * time.Millisecond // two polls
	StartupSearchTime          = time.Second             // from the first message on, a proxy that starts looks so long for a control machine in contact with a majority before it takes what may be old; several dials and questions, well inside contact and configApply
	PullDelay                  = 120 * time.Millisecond  // a change announced elsewhere is fetched there if it has not come so long after
	SelfPollDelay              = 4 * time.Second         // a proxy that receives nothing from a control machine in contact so long polls for itself
	SelfPollInterval           = 3 * time.Second         // slowly: the call rate is shared by all
)

// Forwarding.
const (
	RequestBufferBytes           = 64 << 10                // bytes held so a request can be offered again; longer bodies stream
	ResponseBufferBytes          = 256 << 10               // bytes held so a cut answer can be replaced before the client sees any
	ConnectTimeout               = 250 * time.Millisecond  // many round trips; the machine is gone or cut off when it takes longer
	UpstreamIdleTimeout          = 4 * time.Second         // idle upstream connections when no Keep-Alive header states more
	UpstreamIdleMargin           = 1500 * time.Millisecond // retire this long before the upstream would close
	MaxConnectionsFraction       = 0.8                     // part of maxConnections used by all proxies together
	PreferredUpstreams           = 16                      // of a service, near ones first, that a proxy turns to before any other: with few requests over many upstreams every one would cost a new connection, and nothing learned would last
	UpstreamConcurrency          = 2                       // requests one proxy has at one upstream at least, while it answers at its usual speed; twice its share of the places where proxies are few
	SlowUpstreamConcurrency      = 1                       // and while it does not; its share where proxies are few
	SlowFactor                   = 2.5                     // times the usual delay that count as slow
	DefaultUpstreamDelay         = 80 * time.Millisecond   // assumed delay of an upstream nobody has asked
	DelayWeight                  = 0.2                     // weight of a new answer in the running mean
	ReportedLoadMaxAge           = time.Second             // what an upstream reported of its load counts so long
	DelayDecayTime               = 6 * time.Second         // what was learned of an upstream's delay fades so fast
	SelectionNoise               = 0.15                    // proxies that know the same must not all choose the same
	ColdOverloadProbability      = 1e-7                    // the chance, at each start of an upstream, that so many proxies draw it that they could break its bound
	ColdRequestInterval          = 1100 * time.Millisecond // between two requests of one of them: longer than the second in which they are counted
	WarmupFactor                 = 1.6                     // a fresh upstream is slow
	FullUpstreamBackoff          = 80 * time.Millisecond   // an upstream that turned a request away is left alone so long
	MaxIdlePerUpstream           = 4                       // connections kept by
	MaxDials                     = 4                       // upstreams that could not be reached before a request is given up
	ResponseReturnTime           = 15 * time.Millisecond   // an answer needs so long to reach its client: a link between zones, and a busy processor
	AcceptRetryDelay             = 20 * time.Millisecond   // after a failed accept
	SettingsPollInterval         = time.Second             // a changed settings file is looked for
	StepInterval                 = 100 * time.Millisecond  // a proxy's line and duties are driven
	IdleScanInterval             = 500 * time.Millisecond  // idle connections are looked through
	BaseEjectionTime             = 500 * time.Millisecond  // out after a failure; doubles
	MaxEjectionTime              = 8 * time.Second         // longest time out before another trial
	CancelGrace                  = 200 * time.Millisecond  // a repeatable request runs on so long when its client has left: one that ends by then leaves its connection for another, and a new one may take a slot; with HangupLook inside the half second in which the work has to end
	LagThreshold                 = 250 * time.Millisecond  // without a step: the process runs late; two steps and a bit
	LagRecoveryTime              = time.Second             // after it ran late: what had come by then has been read
	HangupCheckInterval          = 100 * time.Millisecond  // a client's socket that nobody reads is looked at so often while its request is under way
	UpstreamDeadlineGrace        = 30 * time.Millisecond   // after the deadline: the upstream's own 504 keeps the connection usable
	ResponseWriteGrace           = 5 * time.Second         // beyond its deadline an answer that its client doesn't take is given up: over any pause of a client that still reads
	MaxBytesWithoutWriteDeadline = 16 << 10                // bytes of an answer written without a bound: they fit a socket's buffer
	RetryRatioFraction           = 0.75                    // part of the retry ratio used, the rest covers windows that slide apart
	RetrySlackFraction           = 0.5                     // part of the retry slack split among the proxies
	LatencySamples               = 64                      // answers that a service's time is reckoned from: few enough to follow it, many enough for those that were stuck not to matter
	LatencyQuantile              = 0.9                     // of the answers come within the time that is called likely, and as many take more than the least
	SlowMedianFactor             = 3                       // times the usual time: a silence below it is usual however even the answers were
	SlowQuantileFactor           = 2                       // times the likely time: likewise however uneven
	LatencyEstimateInterval      = 100 * time.Millisecond  // a service's usual time is reckoned anew so often, not for each request
	RetryAfterFraction           = 1.0 / 3                 // of the time that a client has left it waits as Retry-After asks
	ShutdownAcceptTime           = 2500 * time.Millisecond // after SIGTERM the platform may still send: two missed readiness checks and a bit
	ShutdownReserve              = 700 * time.Millisecond  // of grace kept for leaving
	HeaderTimeout                = 3 * time.Second         // until a configuration says otherwise
	RevocationMargin             = 400 * time.Millisecond  // of the bound on revoked keys kept for clocks that count unevenly and a slow step
	IdleTimeout                  = 15 * time.Second        // likewise
	IdleCloseMargin              = 5 * time.Second         // an idle connection is kept so much longer than its bound: a request that is on its way when it is closed is lost
	MaxHeaderBytes               = 64 << 10                // until a configuration says otherwise
	RefusalLinger                = 500 * time.Millisecond  // a client that goes on sending headers that were refused is read for so long: several round trips, in which the refusal reaches it
	DefaultTimeBudget            = 30 * time.Second        // a client that names no budget
)

// Streams.
const (
	StreamBufferBytes        = 4 << 10                 // bytes of a stream read before they are passed on
	StreamIdleTimeout        = 2 * time.Second         // a client gives up a stream that is silent for so long
	StreamIdleTimeoutTargets = 4                       // or for so many target latencies, where that is longer
	StreamWriteTimeout       = 5 * time.Second         // a client that takes nothing for so long is given up
	AffinityUpstreams        = 3                       // upstreams that one prefix turns to, in an order all proxies agree on
	AffinityMaxLoad          = 0.7                     // of an upstream's slots, from which the next is asked
	StreamMaxLoad            = 2.5                     // of an upstream's slots at work and waiting, from which it is sent no stream: it queues a few more than it works on, and may end what it cannot queue
	ReportedLoadDecayTime    = 1500 * time.Millisecond // what an upstream reported of its load fades so fast toward the service's mean
	StreamOtherZoneMargin    = 0.3                     // of the slots: another zone has to be so much less busy
	StreamSelectionNoise     = 0.1                     // of the slots: proxies that know the same must not all choose the same
)

// Admission.
const (
	SplitFraction           = 0.8                     // of a key's rate split by live proxy count; the rest is granted by trackers
	GrantDuration           = time.Second             // a grant ends so long after it was asked for
	LongGrantDuration       = 10 * time.Second        // a standby rate ends so long after it was granted: longer than all control machines need to come back
	StandbyReserveFraction  = 0.1                     // part of a tracker-carried key's quota that is lent whole and never granted as standby: with the tracked part it serves while a new tracker does not know what stands
	StandbyBasicFraction    = 0.25                    // part of a share lent whole that its proxy uses, without a grant, while nothing comes from the tracker: after a loss of everything demand is not known, and the rest goes by demand
	StandbyDelay            = 1200 * time.Millisecond // a proxy that receives nothing from a tracker so long uses its standby
	ContactTimeout          = 1000 * time.Millisecond // and the tracker has left it out of its pool since this long after the tracker's time that reached it
	ContactScanInterval     = 50 * time.Millisecond   // a tracker looks over whom it may have lost; it counts them as lost so much sooner
	StandbyHeadroom         = 1.5                     // standby over the demand seen, as far as there is so much
	StandbyDepth            = 4.0                     // requests a standby bucket holds: what fills it is bounded by its rate, and one that holds less refuses what comes unevenly
	ContactInterval         = 400 * time.Millisecond  // a tracker is sent a message at least so often
	OneOffLifetime          = 100 * time.Millisecond  // tokens granted for waiting requests end so soon: they may not add up
	UnleasedFraction        = 0.2                     // of a tracker's rate kept for sudden asks rather than leased
	LeaseBurstTime          = 500 * time.Millisecond  // of its rate go with a lease as burst
	SplitTimeout            = 30 * time.Second        // a proxy cut off from all control so long gives its split share up; half of ProxyForget, after which others share it
	MinRestartTime          = 250 * time.Millisecond  // least time between the end of a process and the start of its next incarnation; buckets fill from there
	LendHeadroom            = 1.2                     // times the demand seen that a proxy keeps of its split share; the rest is lent to the tracker
	MaxLentFraction         = 0.8                     // part of the split share lent at most: what stays serves at once when the tracker is lost
	LongLoanDuration        = 9 * time.Second         // likewise for a share that could not serve where it is: it is missed nowhere, and reporting it costs a message a key and proxy
	MinShareBurst           = 8.0                     // requests: random arrivals empty a share that holds fewer while the quota has room; it is lent whole, where floors do not fit the slack
	LoanDuration            = 1500 * time.Millisecond // a loan ends so long after it was last reported; a proxy that is cut off has its share back by then
	HotKeyRate              = 8.0                     // requests a second at one proxy from which a key is hot and its rate leased
	GrantInterval           = 250 * time.Millisecond  // proxies report demand and renew
	MinTrackerTimeout       = 80 * time.Millisecond   // a tracker that answers at all does so within this, or within what is usual for it: other work of its machine may come first
	MaxRetryAfter           = time.Minute             // the longest that a refused client is told to wait
	TokenRetryDelay         = RedialDelay             // after a question that brought no answer, for a key that its tracker alone carries
	GrantHeadroom           = 1.3                     // asked over the demand seen
	PeakBurstTime           = time.Second             // the second bucket holds this much of the key's rate
	PeakRateFactor          = 2.0                     // and fills this many times faster than the rate
	SplitFloor              = 1.0                     // tokens: a share too small to hold one request holds one, while the quota's slack covers all
	SplitFloorSlackFraction = 0.9                     // part of the quota's slack that these floors may use together
	DemandWeight            = 0.08                    // weight of the newest period in demand: a client's few quick requests are no trend
	FullQuotaFraction       = 0.99                    // part of a quota that counts as the whole of it: sums of shares are not exact
)

// Directory.
const (
	LookupTTL             = 1000 * time.Millisecond // an answer is used up to three times as long; a leaving proxy takes new connections for two of them
	DirectoryStartupDelay = 1500 * time.Millisecond // a process that has just started has not received all reports yet
	LocationMaxAge        = 5 * time.Second         // a proxy silent so long leaves the answers: longer than the slowest way its report takes
	DirectLocationMaxAge  = 1200 * time.Millisecond // likewise of one that reports here every SubscribeEvery: three reports missed
	DirectoryCacheTTL     = 200 * time.Millisecond  // an answer is made anew after so long even if no report came
	DirectoryCacheEntries = 256                     // zones are few; made-up ones must not fill memory
	MaxLookupAddresses    = 64                      // addresses a client takes
	MinLookupAddresses    = 2                       // addresses, so that one that fails leaves another
	MinZoneFraction       = 0.9                     // part of a zone's proxies below which others make up the number: until then the rest carry a ninth more each
)

// Disk.
const (
	StoreCompactMinBytes = 4 << 20 // bytes of the store's file up to which it is never compacted: there is little to gain
	StoreCompactFactor   = 3       // the live state: beyond this too it is compacted, so at most half as much again is written as is put, and the file and the one made beside it take four times the live state at most
)

// Membership.
const (
	ProbeInterval    = time.Second            // one member in turn
	ProbeTimeout     = 300 * time.Millisecond // then others are asked
	IndirectProbes   = 2                      // third parties asked
	SuspicionTimeout = 8 * time.Second        // a suspect may refute it so long: its message takes several probes to reach all
	GossipOldFacts   = 2                      // of them old ones, taken at random
	GossipFacts      = 6                      // facts carried along a probe
)
