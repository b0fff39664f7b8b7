package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// nodeSettings returns the settings of a node; only control processes have a data directory.
func nodeSettings(name, ip, zone, data string) map[string]any {
	var seeds []string
	for i := range min(3, cli.Control) {
		seeds = append(seeds, net.JoinHostPort(controlIP(i), strconv.Itoa(portControl)))
	}
	at := func(p int) string { return net.JoinHostPort(ip, strconv.Itoa(p)) }
	return map[string]any{
		"nodeName": name, "ipAddress": ip, "zone": zone, "region": "here",
		"zones":           map[string]string{"z0": "here", "z1": "here", "z2": "here", "z3": "here"},
		"listenAddresses": map[string]string{"frontend": at(portFrontend), "readiness": at(portReadiness), "controlPlane": at(portControl)},
		"internalPorts":   []int{portInternal, portInternal + 15}, "seedNodes": seeds,
		"bootstrap": !clusterStarted, "quorumMember": data != "", "dataDirectory": data,
		"contracts":      []string{"base", "config", "tenants", "quota", "leader"},
		"faultTolerance": map[string]int{"machineFailures": 2},
		"bounds": map[string]any{"drain": "2s", "grace": "6s", "configApply": "2s", "retryBudgetRatio": 0.2, "retryWindow": "10s", "retryBudgetSlack": 200,
			"quotaWindow": "5s", "quotaSlack": 20, "fencingEnforced": true, "lease": "3s", "thawSlack": "300ms", "usageWindow": "5s", "usageTolerance": 0.05, "usageDelay": "10s"},
		"cloudApi": map[string]any{"address": platformAddr, "ratePerS": 1000.0, "maxLag": "800ms", "duties": []string{"usage_report"}, "dutiesPerS": 50.0},
	}
}

// configuration returns the document of a version. Versions differ in the timeout of one route.
func configuration(version int) []byte {
	type resource struct { // fields in the order in which operators write them
		ResourceKind string            `json:"resourceKind"`
		Metadata     map[string]string `json:"metadata"`
		Spec         any               `json:"spec"`
	}
	var resources []resource
	addResource := func(kind, name string, spec any) {
		resources = append(resources, resource{kind, map[string]string{"name": name}, spec})
	}
	for i := range cli.Routes {
		timeout := 1000
		if i == version%cli.Routes {
			timeout += version // the only difference between versions
		}
		addResource("routes", fmt.Sprintf("r%06d", i), map[string]any{"host": fmt.Sprintf("h%d.example", i%50), "pathPrefix": fmt.Sprintf("/p%d/", i), "routeType": "idempotent",
			"timeout": fmt.Sprintf("%dms", timeout), "targetLatency": "300ms", "priority": 1, "targetService": fmt.Sprintf("svc%04d", i%cli.Services), "maxAttempts": 2})
	}
	addResource("routes", "echo", map[string]any{"host": "echo.example", "pathPrefix": "/echo/", "routeType": "idempotent", "timeout": "1000ms", "targetLatency": "300ms", "priority": 1, "targetService": "echo", "maxAttempts": 2})
	addResource("services", "echo", map[string]any{"healthCheckPath": "/health", "maxConnections": 10_000})
	addResource("tenants", "echo", map[string]any{"apiKeys": []string{"key-echo"}, "ratePerS": 100_000, "burstSize": 100_000})
	for i := range cli.Services {
		addResource("services", fmt.Sprintf("svc%04d", i), map[string]any{"healthCheckPath": "/health", "maxConnections": 500})
	}
	for i := range cli.Tenants {
		addResource("tenants", fmt.Sprintf("t%06d", i), map[string]any{"apiKeys": []string{fmt.Sprintf("key-%06d", i)}, "ratePerS": 20 * cli.PerProxy * float64(cli.Proxies) / float64(cli.Tenants), "burstSize": 20 * cli.PerProxy * float64(cli.Proxies) / float64(cli.Tenants)})
	}
	document, _ := json.Marshal(map[string]any{"configVersion": fmt.Sprintf("r%d", version), "resourceList": resources})
	return document
}

// postConfiguration posts a version to the control processes in turn until one acknowledges or
// rejects it.
func postConfiguration(version int) error {
	body := configuration(version)
	deadline := time.Now().Add(cli.Wait)
	for i := 0; time.Now().Before(deadline); i++ {
		resp, err := http.Post(fmt.Sprintf("http://%s:%d/api/rpc?call=configuration.replace", controlIP(i%cli.Control), portControl), "application/json", bytes.NewReader(body))
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
			if resp.StatusCode/100 == 4 {
				return fmt.Errorf("refused: %s", answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("r%d was not acknowledged in %v", version, cli.Wait)
}
