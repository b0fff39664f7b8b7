package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"slateridge/internal/admission"
	"slateridge/internal/constants"
	"slateridge/internal/controlplane"
	"slateridge/internal/distribution"
	"slateridge/internal/eventlog"
	"slateridge/internal/membership"
	"slateridge/internal/proxy"
	"slateridge/internal/settings"
)

type statusCmd struct {
	Address []string `arg:"" optional:"" help:"Admin addresses (HOST:PORT) of the daemons to ask; without any, those of this machine by its settings file."`
	JSON    bool     `help:"Print what the daemons answer, unformatted."`
	All     bool     `help:"List every proxy, upstream and quota, also where there are many."`
	Tenant  string   `help:"Show the account of this tenant, from the control machines named." placeholder:"NAME"`
	Timeout int      `default:"2000" help:"Milliseconds to wait for each."`
}

const statusMax = 8 << 20 // bytes of an answer

func (c statusCmd) Run() error {
	var addrs []string
	local := len(c.Address) == 0
	if local {
		set, err := settings.Load(os.Getenv(settings.EnvFile))
		if err != nil {
			return usageError{fmt.Errorf("no address given, and %w", err)}
		}
		addrs = []string{set.InternalAddress(constants.PortControlAdmin), set.InternalAddress(constants.PortProxyAdmin)}
	}
	for _, a := range c.Address {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return usageError{fmt.Errorf("%q is not HOST:PORT", a)}
		}
		addrs = append(addrs, a)
	}
	client := &http.Client{Timeout: time.Duration(c.Timeout) * time.Millisecond}
	if c.Tenant != "" {
		return showTenant(os.Stdout, client, addrs, c.Tenant)
	}
	var failed []string
	answered := 0
	for _, a := range addrs {
		body, err := fetch(client, a)
		if err == nil {
			err = c.show(os.Stdout, a, body)
		}
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", a, err))
			continue
		}
		answered++
	}
	if len(failed) > 0 && !(local && answered > 0) { // a machine need not run both roles
		return errors.New(strings.Join(failed, "; "))
	}
	return nil
}

func fetch(client *http.Client, addr string) ([]byte, error) {
	resp, err := client.Get("http://" + addr + "/status")
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return nil, errors.New("no answer in time")
		}
		return nil, errors.New("no daemon answers there")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, statusMax))
	if err != nil {
		return nil, fmt.Errorf("the answer broke off: %v", err)
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "application/json" {
		return nil, errors.New("what answers there is not a slateridge admin port")
	}
	return b, nil
}

func (c statusCmd) show(w io.Writer, addr string, body []byte) error {
	var kind struct{ Role string }
	if json.Unmarshal(body, &kind) != nil || kind.Role != "proxy" && kind.Role != "control" {
		return errors.New("what answers there is not a slateridge admin port")
	}
	if c.JSON {
		_, err := w.Write(body)
		return err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	if kind.Role == "control" {
		var r controlplane.Report
		if err := json.Unmarshal(body, &r); err != nil {
			return err
		}
		showControl(t, addr, r, c.All)
		return nil
	}
	var r proxy.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return err
	}
	showProxy(t, addr, r, c.All)
	return nil
}

const statusRows = 24 // of a list; a longer one is shown in sums, with what stands out by name

// rows prints a list: whole when it is short or all of it is wanted, and else
// what stands out, with the number of the others.
func rows[T any](t io.Writer, all bool, list []T, out func(T) bool, line func(T)) {
	all = all || len(list) <= statusRows
	shown := 0
	for _, x := range list {
		if all || out(x) && shown < statusRows {
			line(x)
			shown++
		}
	}
	if rest := len(list) - shown; rest > 0 {
		fmt.Fprintf(t, "    and %d others (--all lists them)\n", rest)
	}
}

// names prints names in a line, and of very many only the number of the last.
func names(all bool, list []string) string {
	if more := len(list) - statusRows; more > 0 && !all {
		list = append(list[:statusRows:statusRows], fmt.Sprintf("and %d others", more))
	}
	return strings.Join(list, ", ")
}

func or(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

func ago(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }

// showControl prints a control process's report.
func showControl(t io.Writer, addr string, r controlplane.Report, all bool) {
	fmt.Fprintf(t, "control %s at %s\n", r.Node, addr)
	showView(t, r)
	showVoters(t, r)
	fmt.Fprintf(t, "  configuration\tr%d in force (state %d/%d, held %d/%d); %d of %d connected proxies hold it\n", r.Chain.Version, r.Chain.Committed.View, r.Chain.Committed.Seq, r.Chain.Held.View, r.Chain.Held.Seq, r.Acked, len(r.Proxies))
	if late := r.LaggingProxies(); len(late) > 0 {
		fmt.Fprintf(t, "  behind\t%s\n", names(all, late))
	}
	showEvacuated(t, r.Evacuated)
	showDirectory(t, r)
	fmt.Fprintf(t, "  upstreams\t%d listed, list %d, read %s ago\n", r.Upstreams, r.ListNum, ago(r.ListAge))
	showDuties(t, r)
	for _, s := range r.Scaling {
		ordered := "nothing ordered"
		if s.Ordered >= 0 {
			ordered = fmt.Sprintf("ordered %d", s.Ordered)
		}
		fmt.Fprintf(t, "    %s\t%s\t%s\tpresent %d\t%s\n", s.Service, s.Zone, ordered, s.Present, s.Why)
	}
	rows(t, all, r.Proxies, func(p distribution.ProxyState) bool {
		return p.Version < r.Chain.Version || p.ListNum < r.ListNum || !p.Ready || p.Silent > constants.SubscriptionTimeout
	}, func(p distribution.ProxyState) {
		fmt.Fprintf(t, "    %s\tr%d\tlist %d\tready %v\theard %s ago\n", p.Name, p.Version, p.ListNum, p.Ready, ago(p.Silent))
	})
	showCommon(t, r.Members, r.Events)
}

// showView prints the chain's members and this process's part in it.
func showView(t io.Writer, r controlplane.Report) {
	v := r.Chain.View
	var ms []string
	for i, m := range v.Members {
		s := m.Addr
		switch i {
		case 0:
			s += " (head)"
		case len(v.Members) - 1:
			s += " (tail)"
		}
		ms = append(ms, s)
	}
	state := "in the chain"
	switch {
	case r.Chain.Sick:
		state = "disk refuses writes"
	case r.Chain.Relay:
		state = "relays only: no disk of its own that counts"
	case !r.Chain.Joined:
		state = "waiting to be taken in"
	case r.Chain.Sealed:
		state = "view sealed, a new one is being agreed"
	}
	contact := "never in contact with a majority"
	if r.Contact >= 0 {
		contact = fmt.Sprintf("in contact with a majority: %v, last %s ago", r.Current, ago(r.Contact))
	}
	fmt.Fprintf(t, "  view\t%d of %d voters: %s\n  state\t%s; %s\n", v.Num, len(v.Voters), strings.Join(ms, ", "), state, contact)
}

// showDirectory prints what the directory has answered, and its places by zone.
func showDirectory(t io.Writer, r controlplane.Report) {
	d := r.Directory
	if d == nil {
		return
	}
	fmt.Fprintf(t, "  directory\t%d look-ups, %d unanswered, %d answers made that name other zones\n", d.Asked, d.Empty, d.Spilled)
	zones := map[string]map[string]int{}
	for _, p := range d.Places {
		z := p.Region + "/" + p.Zone
		if zones[z] == nil {
			zones[z] = map[string]int{}
		}
		zones[z][p.State()]++
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		n := zones[z]
		fmt.Fprintf(t, "    %s\t%d named\t%d not ready\t%d gone\t%d silent\n", z, n["named"], n["not_ready"], n["gone"], n["silent"])
	}
}

// showDuties prints who holds the duties, and how those at the platform stand.
func showDuties(t io.Writer, r controlplane.Report) {
	var ds []string
	for d, who := range r.Duties {
		if who == "" {
			who = "nobody known here"
		}
		ds = append(ds, d+": "+who)
	}
	sort.Strings(ds)
	fmt.Fprintf(t, "  duties\t%s\n  live proxies\t%d\n", strings.Join(ds, ", "), r.Live)
	for _, name := range slices.Sorted(maps.Keys(r.Platform)) {
		p := r.Platform[name]
		fmt.Fprintf(t, "  platform\t%s: fence %d, holder %s; last decided %d", name, p.Fence, or(p.Holder, "nobody"), p.Decided)
		if p.Mine {
			fmt.Fprintf(t, "; held here for %s, backlog %v, accepted %d (last %s ago), refused %d, failed %d, last answer %d", ago(p.Held), p.Backlog, p.Accepted, ago(p.SinceOK), p.Refused, p.Failed, p.LastStatus)
			if p.Tellers > 0 {
				fmt.Fprintf(t, ", told by %d lives of proxies", p.Tellers)
			}
		}
		fmt.Fprintln(t)
	}
}

// showVoters prints what the electorate can bear, and by name who is not as should be.
func showVoters(t io.Writer, r controlplane.Report) {
	if len(r.Voters) == 0 {
		return
	}
	left := fmt.Sprintf("%d more than a majority would be left", r.Margin)
	if r.Margin < 0 {
		left = fmt.Sprintf("%d too few for a majority would be left", -r.Margin)
	}
	fmt.Fprintf(t, "  voters\t%d; if as many are lost besides as may be, %s\n", len(r.Voters), left)
	for _, v := range r.Voters {
		if v.Member && v.State == "in contact" {
			continue
		}
		s := v.State
		if v.Gone > 0 {
			s += " for " + ago(v.Gone)
		}
		if !v.Member {
			s += ", no member"
		}
		if v.WayOut != "" {
			s += "; " + v.WayOut
		}
		fmt.Fprintf(t, "    %s\t%s\n", v.Addr, s)
	}
}

func showEvacuated(t io.Writer, zones []string) {
	if len(zones) > 0 {
		fmt.Fprintf(t, "  evacuated\t%s\n", strings.Join(zones, ", "))
	}
}

func showProxy(t io.Writer, addr string, r proxy.Report, all bool) {
	state := "not ready"
	switch {
	case r.Leaving:
		state = "leaving"
	case r.Ready:
		state = "ready"
	}
	fmt.Fprintf(t, "proxy %s at %s: %s, %d in flight\n", r.Node, addr, state, r.InFlight)
	fmt.Fprintf(t, "  configuration\tr%d from %s; control heard %s ago\n", r.Version, r.Subscriber.From, ago(r.Subscriber.Silent))
	showEvacuated(t, r.Evacuated)
	fmt.Fprintf(t, "  upstream list\t%d, known current %s ago\n", r.Subscriber.ListNum, ago(r.Subscriber.ListAge))
	var rs []string
	for k, n := range r.Requests {
		rs = append(rs, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(rs)
	fmt.Fprintf(t, "  requests\t%s\n", strings.Join(rs, ", "))
	fmt.Fprintf(t, "  second tries\t%d made, %d denied by the budget, %d hedges\n  upstream connections\t%d opened; %d ejections; %d requests waited, %d found no room\n",
		r.Retries, r.Denied, r.Hedges, r.NewConns, r.Ejections, r.Waited, r.Full)
	if s := r.Streams; s.Open > 0 || s.Cut+s.Left+s.First+s.Next+s.Elsewhere > 0 {
		fmt.Fprintf(t, "  streams\t%d open; %d cut by upstreams, %d left by clients; prefixes: %d at their first upstream, %d at one of the next, %d elsewhere\n",
			s.Open, s.Cut, s.Left, s.First, s.Next, s.Elsewhere)
	}
	if u := r.Usage; u.Told != "" {
		fmt.Fprintf(t, "  usage\ttold to %s; %d windows open, %d runs came too late\n", u.Told, u.Windows, u.Dropped)
	}
	states := map[string]map[string]int{}
	for _, u := range r.Upstreams {
		if states[u.Service] == nil {
			states[u.Service] = map[string]int{}
		}
		states[u.Service][u.State]++
	}
	for _, svc := range slices.Sorted(maps.Keys(states)) {
		var n []string
		for _, st := range slices.Sorted(maps.Keys(states[svc])) {
			n = append(n, fmt.Sprintf("%d %s", states[svc][st], st))
		}
		fmt.Fprintf(t, "    %s\t%s\n", svc, strings.Join(n, ", "))
	}
	rows(t, all, r.Upstreams, func(u proxy.UpstreamState) bool { return u.State != "in" }, func(u proxy.UpstreamState) {
		fmt.Fprintf(t, "    %s\t%s\t%s\t%s\tout %d\tidle %d\t%.1f ms\n", u.Service, u.Instance, u.Zone, u.State, u.Out, u.Idle, u.DelayMs)
	})
	fmt.Fprintf(t, "  quotas (split over %d proxies)\n", r.Proxies)
	rows(t, all, r.Quotas, func(q admission.Report) bool { return q.Refused > 0 }, func(q admission.Report) {
		fmt.Fprintf(t, "    %s\t%g/s burst %g\tseen here %.1f/s\tsplit %.1f/s lease %.1f/s\tadmitted %d refused %d (%d falsely)\n",
			q.Key, q.Rate, q.Burst, q.Demand, q.SplitRate, q.GrantRate, q.Admitted, q.Refused, q.FalseRefused)
	})
	for _, a := range r.Audit {
		fmt.Fprintf(t, "    changed\tr%d\t%s\t%g/s burst %g -> %g/s burst %g\t%s\n", a.Version, a.Key, a.Old.Rate, a.Old.Burst, a.New.Rate, a.New.Burst, a.When.Format(time.RFC3339))
	}
	showCommon(t, r.Members, r.Events)
}

func showCommon(t io.Writer, ms []membership.Fact, es []eventlog.Event) {
	n := map[membership.State]int{}
	var odd []string
	for _, m := range ms {
		n[m.State]++
		if m.State != membership.Alive {
			odd = append(odd, m.Name+" "+m.State.String())
		}
	}
	fmt.Fprintf(t, "  members\t%d alive, %d suspected, %d dead %s\n", n[membership.Alive], n[membership.Suspect], n[membership.Dead], names(false, odd))
	for _, e := range es {
		fmt.Fprintf(t, "    %s\t%s\t%s\n", e.At.Format(time.RFC3339), e.Kind, e.About)
	}
}
