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
	Address []string `arg:"" optional:"" help:"Admin addresses (HOST:PORT) of the daemons to query; by default those of this machine, from its settings file."`
	JSON    bool     `help:"Print the JSON responses of the daemons."`
	All     bool     `help:"List every proxy, upstream and quota, however many there are."`
	Tenant  string   `help:"Show the account of this tenant; the addresses are those of control machines." placeholder:"NAME"`
	Timeout int      `default:"2000" help:"Milliseconds to wait for each daemon."`
}

const maxResponseBytes = 8 << 20

func (c statusCmd) Run() error {
	var addrs []string
	local := len(c.Address) == 0
	if local {
		set, err := settings.Load(os.Getenv(settings.EnvFile))
		if err != nil {
			return usageError{fmt.Errorf("no address given: %w", err)}
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
	succeeded := 0
	for _, a := range addrs {
		body, err := fetchStatus(client, a)
		if err == nil {
			err = c.show(os.Stdout, a, body)
		}
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", a, err))
			continue
		}
		succeeded++
	}
	if len(failed) > 0 && !(local && succeeded > 0) { // a machine may run only one of the roles
		return errors.New(strings.Join(failed, "; "))
	}
	return nil
}

func fetchStatus(client *http.Client, addr string) ([]byte, error) {
	resp, err := client.Get("http://" + addr + "/status")
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return nil, errors.New("no response before the timeout")
		}
		return nil, errors.New("no daemon responds at this address")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("cannot read the response: %v", err)
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "application/json" {
		return nil, errors.New("not a slateridge admin port")
	}
	return b, nil
}

func (c statusCmd) show(w io.Writer, addr string, body []byte) error {
	var header struct{ Role string }
	if json.Unmarshal(body, &header) != nil || header.Role != "proxy" && header.Role != "control" {
		return errors.New("not a slateridge admin port")
	}
	if c.JSON {
		_, err := w.Write(body)
		return err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	if header.Role == "control" {
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

// maxListedRows is the length up to which a list is printed in full. For a longer list only the
// notable rows and the number of the others are printed.
const maxListedRows = 24

// printRows prints every row of a list if all is set or the list is short. Otherwise it
// prints up to maxListedRows notable rows and the number of the others.
func printRows[T any](w io.Writer, all bool, list []T, notable func(T) bool, printRow func(T)) {
	all = all || len(list) <= maxListedRows
	shown := 0
	for _, x := range list {
		if all || notable(x) && shown < maxListedRows {
			printRow(x)
			shown++
		}
	}
	if rest := len(list) - shown; rest > 0 {
		fmt.Fprintf(w, "    and %d others (--all lists them)\n", rest)
	}
}

// joinNames joins names with commas. Unless all is set, it replaces the names after the first
// maxListedRows with their number.
func joinNames(all bool, names []string) string {
	if more := len(names) - maxListedRows; more > 0 && !all {
		names = append(names[:maxListedRows:maxListedRows], fmt.Sprintf("and %d others", more))
	}
	return strings.Join(names, ", ")
}

func orDefault(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

func roundAge(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }

// showControl prints the report of a control machine.
func showControl(w io.Writer, addr string, r controlplane.Report, all bool) {
	fmt.Fprintf(w, "control %s at %s\n", r.Node, addr)
	showView(w, r)
	showVoters(w, r)
	fmt.Fprintf(w, "  configuration\tr%d in force (state %d/%d, held %d/%d); %d of %d connected proxies hold it\n", r.Chain.Version, r.Chain.Committed.View, r.Chain.Committed.Seq, r.Chain.Held.View, r.Chain.Held.Seq, r.Acked, len(r.Proxies))
	if lagging := r.LaggingProxies(); len(lagging) > 0 {
		fmt.Fprintf(w, "  behind\t%s\n", joinNames(all, lagging))
	}
	showEvacuated(w, r.Evacuated)
	showDirectory(w, r)
	fmt.Fprintf(w, "  upstreams\t%d listed, list %d, read %s ago\n", r.Upstreams, r.ListNum, roundAge(r.ListAge))
	showDuties(w, r)
	for _, s := range r.Scaling {
		ordered := "nothing ordered"
		if s.Ordered >= 0 {
			ordered = fmt.Sprintf("ordered %d", s.Ordered)
		}
		fmt.Fprintf(w, "    %s\t%s\t%s\tpresent %d\t%s\n", s.Service, s.Zone, ordered, s.Present, s.Why)
	}
	printRows(w, all, r.Proxies, func(p distribution.ProxyState) bool {
		return p.Version < r.Chain.Version || p.ListNum < r.ListNum || !p.Ready || p.Silent > constants.SubscriptionTimeout
	}, func(p distribution.ProxyState) {
		fmt.Fprintf(w, "    %s\tr%d\tlist %d\tready %v\theard %s ago\n", p.Name, p.Version, p.ListNum, p.Ready, roundAge(p.Silent))
	})
	showCommon(w, r.Members, r.Events)
}

// showView prints the members of the chain and the state of the reporting machine in it.
func showView(w io.Writer, r controlplane.Report) {
	v := r.Chain.View
	var members []string
	for i, m := range v.Members {
		s := m.Addr
		switch i {
		case 0:
			s += " (head)"
		case len(v.Members) - 1:
			s += " (tail)"
		}
		members = append(members, s)
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
		contact = fmt.Sprintf("in contact with a majority: %v, last %s ago", r.Current, roundAge(r.Contact))
	}
	fmt.Fprintf(w, "  view\t%d of %d voters: %s\n  state\t%s; %s\n", v.Num, len(v.Voters), strings.Join(members, ", "), state, contact)
}

// showDirectory prints the look-up counters of the directory and the states of its proxies by zone.
func showDirectory(w io.Writer, r controlplane.Report) {
	d := r.Directory
	if d == nil {
		return
	}
	fmt.Fprintf(w, "  directory\t%d look-ups, %d unanswered, %d answers made that name other zones\n", d.Asked, d.Empty, d.Spilled)
	placesByZone := map[string]map[string]int{}
	for _, p := range d.Places {
		zone := p.Region + "/" + p.Zone
		if placesByZone[zone] == nil {
			placesByZone[zone] = map[string]int{}
		}
		placesByZone[zone][p.State()]++
	}
	for _, zone := range slices.Sorted(maps.Keys(placesByZone)) {
		counts := placesByZone[zone]
		fmt.Fprintf(w, "    %s\t%d named\t%d not ready\t%d gone\t%d silent\n", zone, counts["named"], counts["not_ready"], counts["gone"], counts["silent"])
	}
}

// showDuties prints the holder of each duty and the progress of the duties performed at the platform.
func showDuties(w io.Writer, r controlplane.Report) {
	var duties []string
	for name, holder := range r.Duties {
		if holder == "" {
			holder = "nobody known here"
		}
		duties = append(duties, name+": "+holder)
	}
	sort.Strings(duties)
	fmt.Fprintf(w, "  duties\t%s\n  live proxies\t%d\n", strings.Join(duties, ", "), r.Live)
	for _, name := range slices.Sorted(maps.Keys(r.Platform)) {
		p := r.Platform[name]
		fmt.Fprintf(w, "  platform\t%s: fence %d, holder %s; last decided %d", name, p.Fence, orDefault(p.Holder, "nobody"), p.Decided)
		if p.Mine {
			fmt.Fprintf(w, "; held here for %s, backlog %v, accepted %d (last %s ago), refused %d, failed %d, last answer %d", roundAge(p.Held), p.Backlog, p.Accepted, roundAge(p.SinceOK), p.Refused, p.Failed, p.LastStatus)
			if p.Tellers > 0 {
				fmt.Fprintf(w, ", told by %d lives of proxies", p.Tellers)
			}
		}
		fmt.Fprintln(w)
	}
}

// showVoters prints the failure margin of the electorate, and lists the voters that are not
// members of the view or not in contact.
func showVoters(w io.Writer, r controlplane.Report) {
	if len(r.Voters) == 0 {
		return
	}
	margin := fmt.Sprintf("%d more than a majority would be left", r.Margin)
	if r.Margin < 0 {
		margin = fmt.Sprintf("%d too few for a majority would be left", -r.Margin)
	}
	fmt.Fprintf(w, "  voters\t%d; if as many are lost besides as may be, %s\n", len(r.Voters), margin)
	for _, v := range r.Voters {
		if v.Member && v.State == "in contact" {
			continue
		}
		s := v.State
		if v.Gone > 0 {
			s += " for " + roundAge(v.Gone)
		}
		if !v.Member {
			s += ", no member"
		}
		if v.WayOut != "" {
			s += "; " + v.WayOut
		}
		fmt.Fprintf(w, "    %s\t%s\n", v.Addr, s)
	}
}

func showEvacuated(w io.Writer, zones []string) {
	if len(zones) > 0 {
		fmt.Fprintf(w, "  evacuated\t%s\n", strings.Join(zones, ", "))
	}
}

func showProxy(w io.Writer, addr string, r proxy.Report, all bool) {
	state := "not ready"
	switch {
	case r.Leaving:
		state = "leaving"
	case r.Ready:
		state = "ready"
	}
	fmt.Fprintf(w, "proxy %s at %s: %s, %d in flight\n", r.Node, addr, state, r.InFlight)
	fmt.Fprintf(w, "  configuration\tr%d from %s; control heard %s ago\n", r.Version, r.Subscriber.From, roundAge(r.Subscriber.Silent))
	showEvacuated(w, r.Evacuated)
	fmt.Fprintf(w, "  upstream list\t%d, known current %s ago\n", r.Subscriber.ListNum, roundAge(r.Subscriber.ListAge))
	var requests []string
	for outcome, n := range r.Requests {
		requests = append(requests, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(requests)
	fmt.Fprintf(w, "  requests\t%s\n", strings.Join(requests, ", "))
	fmt.Fprintf(w, "  second tries\t%d made, %d denied by the budget, %d hedges\n  upstream connections\t%d opened; %d ejections; %d requests waited, %d found no room\n",
		r.Retries, r.Denied, r.Hedges, r.NewConns, r.Ejections, r.Waited, r.Full)
	if s := r.Streams; s.Open > 0 || s.Cut+s.Left+s.First+s.Next+s.Elsewhere > 0 {
		fmt.Fprintf(w, "  streams\t%d open; %d cut by upstreams, %d left by clients; prefixes: %d at their first upstream, %d at one of the next, %d elsewhere\n",
			s.Open, s.Cut, s.Left, s.First, s.Next, s.Elsewhere)
	}
	if u := r.Usage; u.Told != "" {
		fmt.Fprintf(w, "  usage\ttold to %s; %d windows open, %d runs came too late\n", u.Told, u.Windows, u.Dropped)
	}
	statesByService := map[string]map[string]int{}
	for _, u := range r.Upstreams {
		if statesByService[u.Service] == nil {
			statesByService[u.Service] = map[string]int{}
		}
		statesByService[u.Service][u.State]++
	}
	for _, svc := range slices.Sorted(maps.Keys(statesByService)) {
		var counts []string
		for _, state := range slices.Sorted(maps.Keys(statesByService[svc])) {
			counts = append(counts, fmt.Sprintf("%d %s", statesByService[svc][state], state))
		}
		fmt.Fprintf(w, "    %s\t%s\n", svc, strings.Join(counts, ", "))
	}
	printRows(w, all, r.Upstreams, func(u proxy.UpstreamState) bool { return u.State != "in" }, func(u proxy.UpstreamState) {
		fmt.Fprintf(w, "    %s\t%s\t%s\t%s\tout %d\tidle %d\t%.1f ms\n", u.Service, u.Instance, u.Zone, u.State, u.Out, u.Idle, u.DelayMs)
	})
	fmt.Fprintf(w, "  quotas (split over %d proxies)\n", r.Proxies)
	printRows(w, all, r.Quotas, func(q admission.Report) bool { return q.Refused > 0 }, func(q admission.Report) {
		fmt.Fprintf(w, "    %s\t%g/s burst %g\tseen here %.1f/s\tsplit %.1f/s lease %.1f/s\tadmitted %d refused %d (%d falsely)\n",
			q.Key, q.Rate, q.Burst, q.Demand, q.SplitRate, q.GrantRate, q.Admitted, q.Refused, q.FalseRefused)
	})
	for _, a := range r.Audit {
		fmt.Fprintf(w, "    changed\tr%d\t%s\t%g/s burst %g -> %g/s burst %g\t%s\n", a.Version, a.Key, a.Old.Rate, a.Old.Burst, a.New.Rate, a.New.Burst, a.When.Format(time.RFC3339))
	}
	showCommon(w, r.Members, r.Events)
}

func showCommon(w io.Writer, members []membership.Fact, events []eventlog.Event) {
	counts := map[membership.State]int{}
	var notAlive []string
	for _, m := range members {
		counts[m.State]++
		if m.State != membership.Alive {
			notAlive = append(notAlive, m.Name+" "+m.State.String())
		}
	}
	fmt.Fprintf(w, "  members\t%d alive, %d suspected, %d dead %s\n", counts[membership.Alive], counts[membership.Suspect], counts[membership.Dead], joinNames(false, notAlive))
	for _, e := range events {
		fmt.Fprintf(w, "    %s\t%s\t%s\n", e.At.Format(time.RFC3339), e.Kind, e.About)
	}
}
