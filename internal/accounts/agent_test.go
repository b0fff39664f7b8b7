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

// pair is two control machines of which the second holds the shard, without a network.
type pair struct {
	now      time.Duration
	services map[string]*Service
	silent   string
}

func newPair(objectives *Objectives) *pair {
	p := &pair{services: map[string]*Service{}}
	for _, name := range []string{"a", "b"} {
		holder := NewReplica(name, objectives, DefaultCounterOptions, simnet.NewDisk(), true, 1, func(string, string) {})
		p.services[name] = NewService(holder, ServiceOptions{Node: name, HoldsLease: func(int) bool { return name == "b" },
			LeaseHolder: func(int) string { return "b" }, Replicas: func() []string { return []string{"a", "b"} },
			Send: func(to string, message any) { p.services[to].HandleMessage(name, message) }, Now: func() time.Duration { return p.now }})
	}
	p.pass(time.Second)
	return p
}

// pass lets time go by.
func (p *pair) pass(span time.Duration) {
	for end := p.now + span; p.now < end; p.now += TickInterval {
		p.services["a"].Step()
		p.services["b"].Step()
	}
}

func (p *pair) ask(to string, report Report) (ReportAck, error) {
	if to == p.silent {
		return ReportAck{}, errors.New("no answer")
	}
	answer, _ := p.services[to].HandleMessage("proxy", report)
	return answer.(ReportAck), nil
}

// TestAgentOverItsProcesses takes an agent through a process that is killed: its successor
// settles what was under way as unknown, and removes the journal once a majority has it.
func TestAgentOverItsProcesses(t *testing.T) {
	directory := t.TempDir()
	objectives, err := ParseObjectives([]byte(strings.Replace(goodFile, `"shards":1`, `"shards":1,"journalDirectory":"`+directory+`"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	p := newPair(objectives)
	start := func() *Agent {
		return NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"a", "b"}, SendReport: p.ask,
			RecordEvent: func(kind, about string) { t.Errorf("%s: %s", kind, about) }})
	}
	first := start()
	first.Begin("known").Success(time.Millisecond)
	first.Begin("known")
	first.SendReports() // by way of a, which names b
	p.pass(10 * time.Second)
	first.Begin("known").Failure(Lost) // never told by this process
	first.journal.Close()              // as the end of the process does

	second := start()
	second.Begin("known").Success(time.Second)
	p.silent = "b"
	second.SendReports()
	p.silent = ""
	second.RetryReports() // what the silent holder did not take
	p.pass(10 * time.Second)
	second.RetryReports() // nothing: all was taken
	if standing, err := p.services["b"].Standing(p.now, "known"); err != nil || standing.Account.Taken != 4 {
		t.Errorf("after the retry: %+v, %v", standing.Account, err)
	}
	for range 2 {
		second.SendReports()
		p.pass(10 * time.Second)
	}
	response := httptest.NewRecorder()
	p.services["b"].ServeHTTP(response, httptest.NewRequest("GET", "/accounts?tenant=known", nil))
	var snapshot Snapshot
	if err := json.Unmarshal(response.Body.Bytes(), &snapshot); err != nil {
		t.Fatal(err)
	}
	account := snapshot.Standings[0].Account
	if want := [outcomeCount]uint64{OnTime: 1, Late: 1, Lost: 1, Unknown: 1}; account.Taken != 4 || account.Settled != want {
		t.Errorf("the account is %+v", account)
	}
	if left, _ := filepath.Glob(filepath.Join(directory, "*")); len(left) != 1 {
		t.Errorf("journals left: %v", left)
	}
	var metrics strings.Builder
	p.services["b"].WriteMetrics(&metrics)
	if !strings.Contains(metrics.String(), "slateridge_accounts_taken_total 4") || !strings.Contains(metrics.String(), `{outcome="unknown"} 1`) {
		t.Errorf("metrics are\n%s", metrics.String())
	}
	for query, status := range map[string]int{"?tenant=stranger": 404, "": 200} {
		response := httptest.NewRecorder()
		p.services["a"].ServeHTTP(response, httptest.NewRequest("GET", "/accounts"+query, nil))
		if response.Code != status {
			t.Errorf("%q: status %d", query, response.Code)
		}
	}
}

// TestLeavingAgentClosesItsLife ends a process in order that has no journal: its life can
// be folded.
func TestLeavingAgentClosesItsLife(t *testing.T) {
	objectives, err := ParseObjectives([]byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	p := newPair(objectives)
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"b"}, SendReport: p.ask, RecordEvent: func(string, string) {}})
	agent.Begin("known").Success(time.Millisecond)
	agent.Shutdown(time.Second)
	p.pass(15 * time.Minute)
	state := p.services["b"].Shards(p.now)[0]
	if state.FoldedLives != 1 || state.OpenLives+state.EndedLives != 0 {
		t.Errorf("%+v", state)
	}
	if standing, err := p.services["b"].Standing(p.now, "known"); err != nil || standing.Account.Settled[OnTime] != 1 {
		t.Errorf("%+v, %v", standing.Account, err)
	}
}

// TestAgentRetries has an agent's holder lapse for a moment, change, and stay away: what
// was not taken is told again soon, a new holder is told at once what it lacks, and the
// distance between attempts grows.
func TestAgentRetries(t *testing.T) {
	objectives, err := ParseObjectives([]byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	asked := 0
	heard, refused := uint64(0), ErrNotHolder.Error()
	ask := func(_ string, report Report) (ReportAck, error) {
		asked++
		ack := ReportAck{Shard: report.Shard, Life: report.Life, Refused: refused, Holder: "a"}
		if refused == "" {
			if report.From <= heard {
				heard = max(heard, report.To)
			}
			ack.Ack.Term.Counter, ack.Ack.Heard = 1, heard
		}
		return ack, nil
	}
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"a"}, SendReport: ask, RecordEvent: func(string, string) {}})
	agent.Begin("known")
	agent.SendReports()
	refused = ""
	if agent.RetryReports(); heard != 1 {
		t.Errorf("after %v, the holder has heard %d", RetryInterval, heard)
	}
	agent.Begin("known")
	agent.SendReports()
	heard = 0 // a new holder, which has nothing
	agent.Begin("known")
	ask2 := ask
	agent.options.SendReport = func(to string, report Report) (ReportAck, error) {
		ack, err := ask2(to, report)
		ack.Ack.Term.Counter = 2
		return ack, err
	}
	if agent.SendReports(); heard != 3 {
		t.Errorf("a new holder has heard %d of 3 after one report", heard)
	}
	agent.Begin("known")
	refused, asked = ErrNotHolder.Error(), 0
	for range 100 {
		agent.RetryReports()
	}
	if asked != 0 {
		t.Errorf("%d attempts before the next report is due", asked)
	}
	agent.SendReports()
	asked = 0
	for range 100 {
		agent.RetryReports()
	}
	if asked < 10 || asked > 40 {
		t.Errorf("%d attempts in 100 turns", asked)
	}
}

// TestAgentForgetsSilentHolder has a machine that held all shards not answer any more: it
// is asked for the first shard, not for each.
func TestAgentForgetsSilentHolder(t *testing.T) {
	objectives, err := ParseObjectives([]byte(strings.Replace(goodFile, `"shards":1`, `"shards":16,"defaultClass":"gold"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	dead, silent := "a", 0
	ask := func(to string, report Report) (ReportAck, error) {
		if to == dead {
			silent++
			return ReportAck{}, errors.New("no answer")
		}
		ack := ReportAck{Shard: report.Shard, Life: report.Life}
		ack.Ack.Term.Counter, ack.Ack.Heard = 1, report.To
		return ack, nil
	}
	agent := NewAgent(AgentOptions{Node: "proxy", Objectives: objectives, ControlNodes: []string{"b"}, SendReport: ask, RecordEvent: func(string, string) {}})
	for shard := range agent.holders {
		agent.holders[shard] = "a"
	}
	for i := range 200 {
		agent.Begin(fmt.Sprint("tenant-", i))
	}
	if agent.SendReports(); silent != 1 {
		t.Errorf("the silent machine was asked %d times", silent)
	}
}
