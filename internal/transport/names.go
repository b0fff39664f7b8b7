package transport

import "encoding/gob"

// The names of the messages on the wire. They are what builds know each other's
// messages by, so none may change, whatever becomes of the Go types: they are those
// under which the first builds sent them, after the packages and types of then. The
// same holds for the names of the messages' exported fields.
const (
	NameHeartbeat           = "slateridge/internal/headworks.Gauge"
	NamePrepare             = "slateridge/internal/headworks.Prepare"
	NamePromise             = "slateridge/internal/headworks.Promise"
	NameNack                = "slateridge/internal/headworks.Nack"
	NameSync                = "slateridge/internal/headworks.Sync"
	NameSynced              = "slateridge/internal/headworks.Synced"
	NameAccept              = "slateridge/internal/headworks.Accept"
	NameAccepted            = "slateridge/internal/headworks.Accepted"
	NameDecide              = "slateridge/internal/headworks.Decide"
	NameChainPass           = "slateridge/internal/headworks.Pass"
	NameChainLack           = "slateridge/internal/headworks.Lack"
	NameChainAck            = "slateridge/internal/headworks.Ack"
	NameChainHigher         = "slateridge/internal/headworks.Higher"
	NameRetire              = "slateridge/internal/headworks.Retire"
	NameForward             = "slateridge/internal/headworks.Forward"
	NameEvacuationOrder     = "slateridge/internal/headworks.Order"
	NameConfirm             = "slateridge/internal/headworks.Confirm"
	NameConfirmed           = "slateridge/internal/headworks.Confirmed"
	NameRead                = "slateridge/internal/headworks.Read"
	NameReadAnswer          = "slateridge/internal/headworks.Answer"
	NameFetch               = "slateridge/internal/headworks.Fetch"
	NameFetched             = "slateridge/internal/headworks.Fetched"
	NameRoster              = "slateridge/internal/headworks.Roster"
	NameUpstreamListNews    = "slateridge/internal/headworks.ListNews"
	NameUpstreamListRequest = "slateridge/internal/headworks.ListAsk"
	NameSubscription        = "slateridge/internal/penstock.Tap"
	NameUpdate              = "slateridge/internal/penstock.News"
	NameDutyOrder           = "slateridge/internal/duty.Order"
	NameLeaseRequest        = "slateridge/internal/watermaster.Ask"
	NameLeaseGrant          = "slateridge/internal/watermaster.Grant"
	NameLeaseRelease        = "slateridge/internal/watermaster.Release"
	NameUsageHandover       = "slateridge/internal/usage.Handover"
	NameUsageReport         = "slateridge/internal/usage.Told"
	NameUsageAck            = "slateridge/internal/usage.Heard"
	NameLoadReport          = "slateridge/internal/scaling.Told"
	NameLoadAck             = "slateridge/internal/scaling.Heard"
	NameQuotaRequest        = "slateridge/internal/weir.AskGrants"
	NameQuotaGrants         = "slateridge/internal/weir.GrantsGiven"
	NameAccountReport       = "slateridge/accounts.Report"
	NameAccountReportAck    = "slateridge/accounts.ReportAck"
	NameAccountPrepare      = "slateridge/accounts.Prepare"
	NameAccountPromise      = "slateridge/accounts.Promise"
	NameAccountReject       = "slateridge/accounts.Reject"
	NameAccountReplicate    = "slateridge/accounts.Replicate"
	NameAccountReplicated   = "slateridge/accounts.Replicated"
)

// Register makes a message type known under its name on the wire; each package
// registers its own. Fields are known by their Go names.
func Register(name string, message any) { gob.RegisterName(name, message) }
