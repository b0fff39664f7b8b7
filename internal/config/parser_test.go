package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// documentOf writes a configuration of so many routes and tenants, each with a
// number that a change moves.
func documentOf(version int, routes, tenants []int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"configVersion":"r%d","resourceList":[`, version)
	for i, n := range routes {
		fmt.Fprintf(&b, `{"resourceKind":"routes","metadata":{"name":"r%d"},"spec":{"host":"h%d.example","pathPrefix":"/a%d/","routeType":"idempotent","timeout":"%dms","targetLatency":"250ms","priority":2,"targetService":"x","maxAttempts":2,"public":false}},`, i, i%7, i, 1000+n)
	}
	for i, n := range tenants {
		fmt.Fprintf(&b, `{"resourceKind":"tenants","metadata":{"name":"t%d"},"spec":{"apiKeys":["k%d","k%d-%d"],"priority":0,"ratePerS":%d,"burstSize":8}},`, i, i, i, n, 10+n)
	}
	b.WriteString(`{"resourceKind":"services","metadata":{"name":"x"},"spec":{"healthCheckPath":"/health","maxConnections":150,"protocol":"h1","tlsEnabled":false}}]}`)
	return []byte(b.String())
}

// Reading one configuration after another gives what reading each whole gives,
// and reads only the items that are new; a document that cannot be taken apart,
// or is not valid, fares as it does read whole.
func TestReadsOnlyWhatIsNew(t *testing.T) {
	rng, rd := rand.New(rand.NewPCG(2, 2)), Parser{}
	routes, tenants := make([]int, 60), make([]int, 40)
	for v := 1; v <= 40; v++ {
		changed := 1 + rng.IntN(3)
		for range changed {
			routes[rng.IntN(len(routes))]++
			tenants[rng.IntN(len(tenants))]++
		}
		if v%9 == 0 {
			routes = append(routes, v)
		}
		raw := documentOf(v, routes, tenants)
		if v%7 == 0 { // written otherwise
			raw = []byte(strings.ReplaceAll(string(raw), `{"resourceKind"`, `{ "resourceKind"`))
		}
		whole, err := Parse(raw)
		got, err2 := rd.Parse(raw)
		if err != nil || err2 != nil || !reflect.DeepEqual(got, whole) {
			t.Fatalf("r%d is read otherwise by its differences: %v, %v", v, err, err2)
		}
		if v > 1 && v%7 > 1 && (rd.ParsedItems == 0 || rd.ParsedItems > 2*changed+1) {
			t.Errorf("r%d: %d items were read, at most %d were new", v, rd.ParsedItems, 2*changed+1)
		}
		if _, err := rd.Parse([]byte(strings.Replace(string(raw), `"maxAttempts":2`, `"maxAttempts":0`, 1))); err == nil || !strings.Contains(err.Error(), "routes r0: maxAttempts") {
			t.Fatalf("r%d spoilt: %v", v, err)
		}
		if v%7 > 0 {
			rd.Parse(raw) // what is held after an invalid one is not used
		}
	}
	for _, tail := range []string{` `, `}`, `,"more":1}`, ` x`} {
		raw := append(documentOf(99, routes, tenants), tail...)
		_, whole := Parse(raw)
		if _, got := rd.Parse(raw); (whole == nil) != (got == nil) {
			t.Errorf("ending %q: by differences %v, whole %v", tail, got, whole)
		}
	}
}
