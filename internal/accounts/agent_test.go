package accounts

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"slateridge/internal/simnet"
)

// controlPlane consists of two control-plane nodes, a and b, without a network between them.
// b holds the leases of all shards.
type controlPlane struct {
	now          time.Duration
	services     map[string]*Service
	unresponsive string // node that doesn't respond to reports
}

func newControlPlane(objectives *Objectives) *controlPlane {
	p := &controlPlane{services: map[string]*Service{}}
	for _, name := range []string{"a", "b"} {
		replica := NewReplica(name, objectives, DefaultCounterOptions, simnet.NewDisk(), true, 1, func(string, string) {})
		p.services[name] = NewService(replica, ServiceOptions{Node: name, HoldsLease: func(int) bool { return name == "b" },
			LeaseHolder: func(int) string { return "b" }, Replicas: func() []string { return []string{"a", "b"} },
			Send: func(to string, message any) { p.services[to].HandleMessage(name, message) }, Now: func() time.Duration { return p.now }})
	}
	p.advance(time.Second)
	return p
}

// advance moves the clock forward and runs all steps that are due.
func (p *controlPlane) advance(span time.Duration) {
	for end := p.now + span; p.now < end; p.now += TickInterval {
		p.services["a"].Step()
		p.services["b"].Step()
	}
}

func (p *controlPlane) handleReport(to string, report Report) (ReportAck, error) {
	if to == p.unresponsive {
		return ReportAck{}, errors.New("no response")
	}
	response, _ := p.services[to].HandleMessage("proxy", report)
	return response.(ReportAck), nil
}

// TestAgentRecoversJournal ends a proxy process without a shutdown. The next process must settle
// the requests in flight as Unknown, and must remove the journal once a majority holds its
// counters.
func TestAgentRecoversJournal(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(strings.Replace(validObjectives, `"shards":1`, `"shards":1,"journalDirectory":"`+directory+`"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	p := newControlPlane(objectives)
	start := func() *Agent {
		return NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"a", "b"}, SendReport: p.handleReport,
			RecordEvent: func(kind, about string) { t.Errorf("%s: %s", kind, about) }})
	}
	first := start()
	first.Begin("known").Success(time.Millisecond)
	first.Begin("known")
	first.SendReports() // a redirects to b
	p.advance(10 * time.Second)
	first.Begin("known").Failure(Lost) // not reported by this process
	first.journal.Close()              // the end of a process has the same effect

	second := start()
	second.Begin("known").Success(time.Second)
	p.unresponsive = "b"
	second.SendReports()
	p.unresponsive = ""
	second.RetryReports() // resends what the leader did not receive
	p.advance(10 * time.Second)
	second.RetryReports() // sends nothing: everything was accepted
	if standing, err := p.services["b"].Standing(p.now, "known"); err != nil || standing.Account.Taken != 4 {
		t.Errorf("after the retry: got account %+v, %v, want 4 requests", standing.Account, err)
	}
	for range 2 {
		second.SendReports()
		p.advance(10 * time.Second)
	}
	response := httptest.NewRecorder()
	p.services["b"].ServeHTTP(response, httptest.NewRequest("GET", "/accounts?tenant=known", nil))
	var snapshot Snapshot
	if err := json.Unmarshal(response.Body.Bytes(), &snapshot); err != nil {
		t.Fatal(err)
	}
	account := snapshot.Standings[0].Account
	if want := [outcomeCount]uint64{OnTime: 1, Late: 1, Lost: 1, Unknown: 1}; account.Taken != 4 || account.Settled != want {
		t.Errorf("unexpected account: %+v", account)
	}
	if files, _ := filepath.Glob(filepath.Join(directory, "*")); len(files) != 1 {
		t.Errorf("got journals %v, want only that of the second process", files)
	}
	var metrics strings.Builder
	p.services["b"].WriteMetrics(&metrics)
	if !strings.Contains(metrics.String(), "slateridge_accounts_taken_total 4") || !strings.Contains(metrics.String(), `{outcome="unknown"} 1`) {
		t.Errorf("unexpected metrics:\n%s", metrics.String())
	}
	for query, status := range map[string]int{"?tenant=stranger": 404, "": 200} {
		response := httptest.NewRecorder()
		p.services["a"].ServeHTTP(response, httptest.NewRequest("GET", "/accounts"+query, nil))
		if response.Code != status {
			t.Errorf("query %q: got status %d, want %d", query, response.Code, status)
		}
	}
}

// TestShutdownWithoutJournalEndsIncarnation checks that the regular shutdown of a process without
// a journal ends its incarnation, so that its counters are compacted.
func TestShutdownWithoutJournalEndsIncarnation(t *testing.T) {
	objectives, err := ParseObjectives([]byte(validObjectives))
	if err != nil {
		t.Fatal(err)
	}
	p := newControlPlane(objectives)
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"b"}, SendReport: p.handleReport, RecordEvent: func(string, string) {}})
	agent.Begin("known").Success(time.Millisecond)
	agent.Shutdown(time.Second)
	p.advance(15 * time.Minute)
	state := p.services["b"].Shards(p.now)[0]
	if state.FoldedLives != 1 || state.OpenLives+state.EndedLives != 0 {
		t.Errorf("got %+v, want one compacted incarnation", state)
	}
	if standing, err := p.services["b"].Standing(p.now, "known"); err != nil || standing.Account.Settled[OnTime] != 1 {
		t.Errorf("got account %+v, %v, want one request that was on time", standing.Account, err)
	}
}

// TestAgentRetryBackoff lets a shard's lease lapse briefly, move to a new leader, and lapse for
// long. A report that was not accepted must be retried soon, a new leader must receive all that
// it lacks at once, and the backoff must grow.
func TestAgentRetryBackoff(t *testing.T) {
	objectives, err := ParseObjectives([]byte(validObjectives))
	if err != nil {
		t.Fatal(err)
	}
	attempts := 0
	received, refused := uint64(0), ErrNotHolder.Error()
	send := func(_ string, report Report) (ReportAck, error) {
		attempts++
		ack := ReportAck{Shard: report.Shard, Life: report.Life, Refused: refused, Holder: "a"}
		if refused == "" {
			if report.From <= received {
				received = max(received, report.To)
			}
			ack.Ack.Term.Counter, ack.Ack.Heard = 1, received
		}
		return ack, nil
	}
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"a"}, SendReport: send, RecordEvent: func(string, string) {}})
	agent.Begin("known")
	agent.SendReports()
	refused = ""
	if agent.RetryReports(); received != 1 {
		t.Errorf("after %v, the leader has received version %d, want 1", RetryInterval, received)
	}
	agent.Begin("known")
	agent.SendReports()
	received = 0 // a new leader without any changes
	agent.Begin("known")
	sendToFirst := send
	agent.options.SendReport = func(to string, report Report) (ReportAck, error) {
		ack, err := sendToFirst(to, report)
		ack.Ack.Term.Counter = 2
		return ack, err
	}
	if agent.SendReports(); received != 3 {
		t.Errorf("after one call, the new leader has received version %d, want 3", received)
	}
	agent.Begin("known")
	refused, attempts = ErrNotHolder.Error(), 0
	for range 100 {
		agent.RetryReports()
	}
	if attempts != 0 {
		t.Errorf("%d attempts before the next report is due, want 0", attempts)
	}
	agent.SendReports()
	attempts = 0
	for range 100 {
		agent.RetryReports()
	}
	if attempts < 10 || attempts > 40 {
		t.Errorf("%d attempts in 100 calls, want 10 to 40", attempts)
	}
}

// TestAgentForgetsUnresponsiveHolder makes the holder of all shards unresponsive. The agent must
// try it for the first shard only, instead of waiting for it for each shard.
func TestAgentForgetsUnresponsiveHolder(t *testing.T) {
	objectives, err := ParseObjectives([]byte(strings.Replace(validObjectives, `"shards":1`, `"shards":16,"defaultClass":"gold"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	failedNode, attempts := "a", 0
	send := func(to string, report Report) (ReportAck, error) {
		if to == failedNode {
			attempts++
			return ReportAck{}, errors.New("no response")
		}
		ack := ReportAck{Shard: report.Shard, Life: report.Life}
		ack.Ack.Term.Counter, ack.Ack.Heard = 1, report.To
		return ack, nil
	}
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"b"}, SendReport: send, RecordEvent: func(string, string) {}})
	for shard := range agent.holders {
		agent.holders[shard] = "a"
	}
	for i := range 200 {
		agent.Begin(fmt.Sprint("tenant-", i))
	}
	if agent.SendReports(); attempts != 1 {
		t.Errorf("the failed node was tried %d times, want 1", attempts)
	}
}
