package chain

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"slateridge/internal/config"
	"slateridge/internal/gobtest"
	"slateridge/internal/storage"
	"slateridge/internal/usage"
)

// storedRecords returns all records that a control machine stores, filled with values. The
// state's bulk is in the first of the two places for it. The fields that are filled are
// listed in listed and are those of the build that wrote the fixture.
func storedRecords(t *testing.T, listed string) map[string]any {
	var (
		incarnation  uint64
		agreed       agreement
		held         config.Doc
		bulks        [len(bulkKeys)]bulk
		roster       []string
		usageWindows []usage.Report
		peers        []string // in stores from before views listed their voters
	)
	records := map[string]any{"incarnation": &incarnation, "agreement": &agreed, "held": &held,
		bulkKeys[0]: &bulks[0], bulkKeys[1]: &bulks[1], "roster": &roster, usage.StoreKey: &usageWindows, "peers": &peers}
	for key, pointer := range records {
		_, fields, _ := strings.Cut("\n"+listed, "\n"+key+"\n")
		fields, _, _ = strings.Cut(fields, "\n\n")
		if fields == "" {
			t.Fatalf("%s is not listed", key)
		}
		gobtest.Fill(key, pointer, fields)
	}
	bulks[0].Version, bulks[0].Sum, bulks[0].Ledger.Sum = held.Version, held.Sum, held.Ledger.Sum
	held = held.WithoutBulk()
	return records
}

// TestStoreOfPreviousBuildOpens opens a store written by the previous build and checks every
// record and field.
func TestStoreOfPreviousBuildOpens(t *testing.T) {
	fixture := filepath.Join("testdata", "store-before")
	listed, err := os.ReadFile(filepath.Join("testdata", "store-before-fields.txt"))
	if err != nil {
		t.Fatal(err)
	}
	want := storedRecords(t, string(listed))
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(fixture)); err != nil {
		t.Fatal(err)
	}
	store, isNew, err := storage.Open(folder)
	if err != nil || isNew {
		t.Fatalf("the store does not open: new %v, error %v", isNew, err)
	}
	defer store.Close()
	for key, record := range want {
		got := reflect.New(reflect.TypeOf(record).Elem())
		if !store.Get(key, got.Interface()) {
			t.Errorf("%s is missing", key)
		} else if !reflect.DeepEqual(got.Interface(), record) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", key, got.Elem(), reflect.ValueOf(record).Elem())
		}
	}
	c, err := New(0, "10.1.0.13", nil, false, store, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	held, bulk := want["held"].(*config.Doc), want[bulkKeys[0]].(*bulk)
	if c.Me.Incarnation != *want["incarnation"].(*uint64) || !reflect.DeepEqual(c.agreement, *want["agreement"].(*agreement)) {
		t.Errorf("the chain restored %v with %+v", c.Me, c.agreement)
	}
	if c.held == nil || c.held.Stamp != held.Stamp || !reflect.DeepEqual(c.held.Raw, bulk.Raw) {
		t.Errorf("the chain holds %+v", c.held)
	}
}
