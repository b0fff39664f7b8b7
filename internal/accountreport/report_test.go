package accountreport

import (
	"bytes"
	"encoding/csv"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"slateridge/internal/accounts"
)

func snapshotAt(minute int) accounts.Snapshot {
	objective := accounts.Objective{Target: 0.99, Latency: 250 * time.Millisecond, Window: 720 * time.Hour}
	account := accounts.Account{Taken: uint64(1000 * minute)}
	account.Settled[accounts.OnTime] = uint64(980 * minute)
	account.Settled[accounts.Late] = uint64(20 * minute)
	account.Latency = accounts.Sketch{{Index: -24, Count: uint64(980 * minute)}, {Index: -2, Count: uint64(20 * minute)}}
	return accounts.Snapshot{At: time.Unix(int64(60*minute), 0), Shards: []accounts.ShardState{{Shard: 0, Leading: true}, {Shard: 1}},
		Standings: []accounts.Standing{{Tenant: `<b>"x"&`, Objective: objective, Account: account}}}
}

// TestHTMLIsWellFormedAndEscaped parses the page as XML, and checks that it contains the plots,
// refers to no external resource and escapes tenant names.
func TestHTMLIsWellFormedAndEscaped(t *testing.T) {
	var out bytes.Buffer
	if err := HTML(&out, []accounts.Snapshot{snapshotAt(3), snapshotAt(1), snapshotAt(2)}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Count(page, "<svg") != 2 || strings.Contains(page, "<b>") || strings.Contains(page, "http") || strings.Contains(page, "NaN") {
		t.Errorf("unexpected page:\n%s", page)
	}
	if !strings.Contains(page, "<td>2000</td><td>40</td>") || !strings.Contains(page, "Incomplete") {
		t.Error("the request counts or the notice of missing shards are absent")
	}
	body := page[strings.Index(page, "<body>"):strings.Index(page, "</html>")]
	decoder := xml.NewDecoder(strings.NewReader(body))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("page is not well formed: %v", err)
		}
	}
	if err := HTML(&out, []accounts.Snapshot{snapshotAt(1), snapshotAt(1)}); !errors.Is(err, ErrTooFewSnapshots) {
		t.Errorf("snapshots of a single time: got error %v, want ErrTooFewSnapshots", err)
	}
}

// TestTableAndCSV checks that the table and the CSV have one line per tenant, and that the table
// lists shards without a leader.
func TestTableAndCSV(t *testing.T) {
	var table, text bytes.Buffer
	if err := errors.Join(Table(&table, snapshotAt(1)), CSV(&text, snapshotAt(1)), Tenant(&table, snapshotAt(1).Standings[0])); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(table.String(), "INCOMPLETE: none of the nodes that responded leads shards [1]") {
		t.Errorf("unexpected table:\n%s", table.String())
	}
	records, err := csv.NewReader(&text).ReadAll()
	if err != nil || len(records) != 2 || len(records[0]) != len(csvHeader) || records[1][1] != "1000" || records[1][3] != "20" {
		t.Errorf("unexpected CSV records: %v, %v", records, err)
	}
}

// TestMergePrefersLeader checks that a merged snapshot takes the tenants of each shard from the
// node that leads it.
func TestMergePrefersLeader(t *testing.T) {
	other := accounts.Snapshot{At: time.Unix(61, 0), Shards: []accounts.ShardState{{Shard: 0}, {Shard: 1, Leading: true}},
		Standings: []accounts.Standing{{Tenant: "a", Shard: 1}, {Tenant: "stale", Shard: 0}}}
	merged := accounts.MergeSnapshots([]accounts.Snapshot{snapshotAt(1), other})
	if len(merged.MissingShards()) != 0 || len(merged.Standings) != 2 {
		t.Fatalf("unexpected snapshot: %+v", merged)
	}
	if _, ok := merged.Standing("a"); !ok {
		t.Error("tenant a is missing")
	}
	if _, ok := merged.Standing("stale"); ok {
		t.Error("the merged snapshot has a total from a node without the lease")
	}
}
