package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// generateDocument returns a configuration with one route and one tenant for each element of
// routes and tenants. Changing an element changes the item.
func generateDocument(version int, routes, tenants []int) []byte {
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

// A Parser yields the same configurations as Parse but parses only the new items. A document that
// cannot be split into items, or is invalid, gives the same result as with Parse.
func TestParserReusesItems(t *testing.T) {
	rng, parser := rand.New(rand.NewPCG(2, 2)), Parser{}
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
		raw := generateDocument(v, routes, tenants)
		if v%7 == 0 { // formatted so that it cannot be split into items
			raw = []byte(strings.ReplaceAll(string(raw), `{"resourceKind"`, `{ "resourceKind"`))
		}
		whole, err := Parse(raw)
		got, err2 := parser.Parse(raw)
		if err != nil || err2 != nil || !reflect.DeepEqual(got, whole) {
			t.Fatalf("r%d: Parser and Parse differ: %v, %v", v, err, err2)
		}
		if v > 1 && v%7 > 1 && (parser.ParsedItems == 0 || parser.ParsedItems > 2*changed+1) {
			t.Errorf("r%d: %d items were parsed, want at least 1 and at most %d", v, parser.ParsedItems, 2*changed+1)
		}
		if _, err := parser.Parse([]byte(strings.Replace(string(raw), `"maxAttempts":2`, `"maxAttempts":0`, 1))); err == nil || !strings.Contains(err.Error(), "routes r0: maxAttempts") {
			t.Fatalf("r%d made invalid: got error %v", v, err)
		}
		if v%7 > 0 {
			parser.Parse(raw) // restores the items dropped on the invalid document
		}
	}
	for _, tail := range []string{` `, `}`, `,"more":1}`, ` x`} {
		raw := append(generateDocument(99, routes, tenants), tail...)
		_, whole := Parse(raw)
		if _, got := parser.Parse(raw); (whole == nil) != (got == nil) {
			t.Errorf("document ending in %q: Parser returned %v, Parse %v", tail, got, whole)
		}
	}
}
