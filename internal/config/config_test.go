package config

import (
	"errors"
	"strings"
	"testing"
)

const validDocument = `{"configVersion":"r7","resourceList":[
{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":"H.example","pathPrefix":"/a/","routeType":"idempotent","timeout":"1.5s","targetLatency":"250ms","priority":2,"weightedTargets":[{"targetService":"x","weight":90},{"targetService":"y","weight":10}],"maxAttempts":2,"public":false}},
{"resourceKind":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","pathPrefix":"/a/b/","routeType":"non_idempotent","timeout":"1200ms","targetLatency":"300ms","priority":1,"targetService":"y","maxAttempts":2,"public":false}},
{"resourceKind":"services","metadata":{"name":"x"},"spec":{"healthCheckPath":"/health","maxConnections":150,"protocol":"h1","tlsEnabled":false}},
{"resourceKind":"services","metadata":{"name":"y"},"spec":{"healthCheckPath":"/health","maxConnections":150,"protocol":"h1","tlsEnabled":false}},
{"resourceKind":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":128,"burstSize":128}},
{"resourceKind":"tenants","metadata":{"name":"u"},"spec":{"apiKeys":["k3"]}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

// Parse accepts a valid document, and rejects each corrupted copy of it with an error that names
// the item and field at fault.
func TestParse(t *testing.T) {
	cfg, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/a/x": "a", "/a/b/": "b", "/a/bb": "a", "/a": "", "/": ""} {
		got := ""
		if r := cfg.Match("h.example", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s matches route %q, want %q", path, got, want)
		}
	}
	if cfg.Match("other.example", "/a/") != nil || cfg.TenantByKey("k2").Name != "t" || cfg.TenantByKey("k4") != nil || cfg.Version != 7 {
		t.Error("wrong host match, key owner or version")
	}
	a := cfg.Match("h.example", "/a/")
	if a.PickTarget(0.5) != "x" || a.PickTarget(0.95) != "y" {
		t.Error("wrong choice of weighted target")
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"truncated":                {validDocument[len(validDocument)/2:], "", "cannot be read"},
		"trailing data":            {`"15000ms"}}]}`, `"15000ms"}}]}{}`, "more follows"},
		"no version":               {`"r7"`, `"7"`, "configVersion"},
		"unknown service":          {`"targetService":"y","maxAttempts"`, `"targetService":"z","maxAttempts"`, "routes b: targetService"},
		"unknown weighted service": {`{"targetService":"y","weight":10}`, `{"targetService":"z","weight":10}`, "routes a: weightedTargets"},
		"same host and prefix":     {`"/a/b/"`, `"/a/"`, "routes b: pathPrefix"},
		"no attempts":              {`"maxAttempts":2,"public":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"x"}`, `"maxAttempts":0,"public":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"x"}`, "routes b: maxAttempts"},
		"no host":                  {`"H.example"`, `""`, "routes a: host"},
		"no weight":                {`"weight":90},{"targetService":"y","weight":10}`, `"weight":0},{"targetService":"y","weight":0}`, "routes a: targetService"},
		"no timeout":               {`"timeout":"1.5s"`, `"timeout":"0ms"`, "routes a: timeout"},
		"no unit":                  {`"timeout":"1.5s"`, `"timeout":"15"`, "routes a"},
		"no trailing slash":        {`"/a/b/"`, `"/a/b"`, "routes b: pathPrefix"},
		"shared key":               {`["k3"]`, `["k1"]`, "tenants u: apiKeys"},
		"maxCount below minCount":  {`"healthCheckPath":"/health"`, `"healthCheckPath":"/health","scaling":{"minCount":5,"maxCount":4,"bootTime":"4s"}`, "services x: scaling.maxCount"},
		"unknown kind":             {`"resourceKind":"limits"`, `"resourceKind":"limit"`, "resourceKind"},
		"wrong type":               {`"maxConnections":150,"protocol":"h1","tlsEnabled":false}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"y"}`, `"maxConnections":"x"}},` + "\n" + `{"resourceKind":"services","metadata":{"name":"y"}`, "services x: maxConnections"},
	} {
		bad := strings.Replace(validDocument, c.old, c.new, 1)
		if bad == validDocument {
			t.Fatalf("%s: the document is unchanged", name)
		}
		_, err := Parse([]byte(bad))
		var invalid *ValidationError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one containing %q", name, err, c.want)
		}
	}
}

// PickTarget chooses each target in proportion to its weight.
func TestPickTargetWeights(t *testing.T) {
	route := &Route{Targets: []Target{{Service: "a", cumulativeWeight: 70}, {Service: "b", cumulativeWeight: 90}, {Service: "c", cumulativeWeight: 100}}}
	picks := map[string]int{}
	const draws = 10000
	for n := range draws {
		picks[route.PickTarget((float64(n)+0.5)/draws)]++
	}
	if picks["a"] != 7000 || picks["b"] != 2000 || picks["c"] != 1000 {
		t.Errorf("picks in %d draws: %v", draws, picks)
	}
}
