package accounts

import "slateridge/internal/conduit"

func init() {
	conduit.Register(conduit.NameAccountReport, Report{})
	conduit.Register(conduit.NameAccountReportAck, ReportAck{})
	conduit.Register(conduit.NameAccountPrepare, Prepare{})
	conduit.Register(conduit.NameAccountPromise, Promise{})
	conduit.Register(conduit.NameAccountReject, Reject{})
	conduit.Register(conduit.NameAccountReplicate, Replicate{})
	conduit.Register(conduit.NameAccountReplicated, Replicated{})
}
