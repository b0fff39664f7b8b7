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

// TestHTMLIsWholeAndSafe reads the page as XML would be read, finds its plots, and looks
// for anything from elsewhere and for names that were not escaped.
func TestHTMLIsWholeAndSafe(t *testing.T) {
	var out bytes.Buffer
	if err := HTML(&out, []accounts.Snapshot{snapshotAt(3), snapshotAt(1), snapshotAt(2)}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Count(page, "<svg") != 2 || strings.Contains(page, "<b>") || strings.Contains(page, "http") || strings.Contains(page, "NaN") {
		t.Errorf("the page is\n%s", page)
	}
	if !strings.Contains(page, "<td>2000</td><td>40</td>") || !strings.Contains(page, "Incomplete") {
		t.Error("the span's figures, or that it is incomplete, are missing")
	}
	body := page[strings.Index(page, "<body>"):strings.Index(page, "</html>")]
	decoder := xml.NewDecoder(strings.NewReader(body))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("not well formed: %v", err)
		}
	}
	if err := HTML(&out, []accounts.Snapshot{snapshotAt(1), snapshotAt(1)}); !errors.Is(err, ErrTooFewSnapshots) {
		t.Errorf("of one time only: %v", err)
	}
}

// TestTableAndCSV have a line for each tenant, and say what is missing.
func TestTableAndCSV(t *testing.T) {
	var table, text bytes.Buffer
	if err := errors.Join(Table(&table, snapshotAt(1)), CSV(&text, snapshotAt(1)), Tenant(&table, snapshotAt(1).Standings[0])); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(table.String(), "INCOMPLETE: no machine that answered holds shards [1]") {
		t.Errorf("the table is\n%s", table.String())
	}
	records, err := csv.NewReader(&text).ReadAll()
	if err != nil || len(records) != 2 || len(records[0]) != len(csvHeader) || records[1][1] != "1000" || records[1][3] != "20" {
		t.Errorf("%v, %v", records, err)
	}
}

// TestMergeTakesTheLeader takes each shard's tenants from the machine that leads it.
func TestMergeTakesTheLeader(t *testing.T) {
	other := accounts.Snapshot{At: time.Unix(61, 0), Shards: []accounts.ShardState{{Shard: 0}, {Shard: 1, Leading: true}},
		Standings: []accounts.Standing{{Tenant: "a", Shard: 1}, {Tenant: "stale", Shard: 0}}}
	merged := accounts.MergeSnapshots([]accounts.Snapshot{snapshotAt(1), other})
	if len(merged.MissingShards()) != 0 || len(merged.Standings) != 2 {
		t.Fatalf("%+v", merged)
	}
	if _, ok := merged.Standing("a"); !ok {
		t.Error("a is missing")
	}
	if _, ok := merged.Standing("stale"); ok {
		t.Error("a total from a machine without the lease")
	}
}
