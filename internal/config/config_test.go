package config

import (
	"errors"
	"strings"
	"testing"
)

const good = `{"configVersion":"r7","resourceList":[
{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":"H.example","pathPrefix":"/a/","routeType":"idempotent","timeout":"1.5s","targetLatency":"250ms","priority":2,"weightedTargets":[{"targetService":"x","weight":90},{"targetService":"y","weight":10}],"maxAttempts":2,"public":false}},
{"resourceKind":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","pathPrefix":"/a/b/","routeType":"non_idempotent","timeout":"1200ms","targetLatency":"300ms","priority":1,"targetService":"y","maxAttempts":2,"public":false}},
{"resourceKind":"services","metadata":{"name":"x"},"spec":{"healthCheckPath":"/health","maxConnections":150,"protocol":"h1","tlsEnabled":false}},
{"resourceKind":"services","metadata":{"name":"y"},"spec":{"healthCheckPath":"/health","maxConnections":150,"protocol":"h1","tlsEnabled":false}},
{"resourceKind":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":128,"burstSize":128}},
{"resourceKind":"tenants","metadata":{"name":"u"},"spec":{"apiKeys":["k3"]}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

// TestConfigurations takes a valid one, and refuses each of its spoilt copies
// with the item and field that are wrong.
func TestConfigurations(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/a/x": "a", "/a/b/": "b", "/a/bb": "a", "/a": "", "/": ""} {
		got := ""
		if r := s.Match("h.example", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s goes by %q, want %q", path, got, want)
		}
	}
	if s.Match("other.example", "/a/") != nil || s.TenantByKey("k2").Name != "t" || s.TenantByKey("k4") != nil || s.Version != 7 {
		t.Error("host, key or version is read wrongly")
	}
	a := s.Match("h.example", "/a/")
	if a.PickTarget(0.5) != "x" || a.PickTarget(0.95) != "y" {
		t.Error("weights are read wrongly")
	}
	for name, c := range map[string]struct{ old, new, says string }{
		"cut short":           {good[len(good)/2:], "", "cannot be read"},
		"more after the end":  {`"15000ms"}}]}`, `"15000ms"}}]}{}`, "more follows"},
		"no version":          {`"r7"`, `"7"`, "configVersion"},
		"unknown service":     {`"targetService":"y","maxAttempts"`, `"targetService":"z","maxAttempts"`, "routes b: targetService"},
		"unknown weighted":    {`{"targetService":"y","weight":10}`, `{"targetService":"z","weight":10}`, "routes a: weightedTargets"},
		"same place":          {`"/a/b/"`, `"/a/"`, "routes b: pathPrefix"},
		"no attempts":         {`"maxAttempts":2,"public":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"x"}`, `"maxAttempts":0,"public":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"x"}`, "routes b: maxAttempts"},
		"no host":             {`"H.example"`, `""`, "routes a: host"},
		"no weight":           {`"weight":90},{"targetService":"y","weight":10}`, `"weight":0},{"targetService":"y","weight":0}`, "routes a: targetService"},
		"no timeout":          {`"timeout":"1.5s"`, `"timeout":"0ms"`, "routes a: timeout"},
		"no unit":             {`"timeout":"1.5s"`, `"timeout":"15"`, "routes a"},
		"no slash":            {`"/a/b/"`, `"/a/b"`, "routes b: pathPrefix"},
		"shared key":          {`["k3"]`, `["k1"]`, "tenants u: apiKeys"},
		"scaling upside down": {`"healthCheckPath":"/health"`, `"healthCheckPath":"/health","scaling":{"minCount":5,"maxCount":4,"bootTime":"4s"}`, "services x: scaling.maxCount"},
		"unknown kind":        {`"resourceKind":"limits"`, `"resourceKind":"limit"`, "resourceKind"},
		"wrong type":          {`"maxConnections":150,"protocol":"h1","tlsEnabled":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"y"}`, `"maxConnections":"x"}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"y"}`, "services x: maxConnections"},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if bad == good {
			t.Fatalf("%s: nothing was spoilt", name)
		}
		_, err := Parse([]byte(bad))
		var f *ValidationError
		if !errors.As(err, &f) || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: got %v, want it to say %q", name, err, c.says)
		}
	}
}

// Each part of a split route gets the share that its weight says.
func TestWeightsAreKept(t *testing.T) {
	route := &Route{Targets: []Target{{Service: "a", upTo: 70}, {Service: "b", upTo: 90}, {Service: "c", upTo: 100}}}
	share := map[string]int{}
	const draws = 10000
	for n := range draws {
		share[route.PickTarget((float64(n)+0.5)/draws)]++
	}
	if share["a"] != 7000 || share["b"] != 2000 || share["c"] != 1000 {
		t.Errorf("of %d draws: %v", draws, share)
	}
}
