package accounts

import "slateridge/internal/conduit"

func init() {
	conduit.Register(Report{})
	conduit.Register(ReportAck{})
	conduit.Register(Prepare{})
	conduit.Register(Promise{})
	conduit.Register(Reject{})
	conduit.Register(Replicate{})
	conduit.Register(Replicated{})
}
