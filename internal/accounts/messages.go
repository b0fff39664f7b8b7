package accounts

import "slateridge/internal/transport"

func init() {
	transport.Register(transport.NameAccountReport, Report{})
	transport.Register(transport.NameAccountReportAck, ReportAck{})
	transport.Register(transport.NameAccountPrepare, Prepare{})
	transport.Register(transport.NameAccountPromise, Promise{})
	transport.Register(transport.NameAccountReject, Reject{})
	transport.Register(transport.NameAccountReplicate, Replicate{})
	transport.Register(transport.NameAccountReplicated, Replicated{})
}
