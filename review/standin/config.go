package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

type obj = map[string]any

func item(kind, name string, spec obj) obj {
	m := obj{}
	if name != "" {
		m["name"] = name
	}
	return obj{"resourceKind": kind, "metadata": m, "spec": spec}
}

// document writes a configuration as the pages' example does.
func document(version int, items []obj) []byte {
	var parts []string
	for _, it := range items {
		k, _ := json.Marshal(it["resourceKind"])
		m, _ := json.Marshal(it["metadata"])
		s, _ := json.Marshal(it["spec"])
		parts = append(parts, fmt.Sprintf(`{"resourceKind":%s,"metadata":%s,"spec":%s}`, k, m, s))
	}
	return []byte(fmt.Sprintf(`{"configVersion":"r%d","resourceList":[%s]}`, version, strings.Join(parts, ",")))
}

func routeItem(name, host, prefix, kind, service string, timeout string, attempts int) obj {
	return item("routes", name, obj{"host": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout, "targetLatency": "300ms",
		"priority": 1, "targetService": service, "maxAttempts": attempts, "public": false})
}

func serviceItem(name string) obj {
	return item("services", name, obj{"healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tlsEnabled": false})
}

func limitsItem(header int) obj {
	return item("limits", "", obj{"maxHeaderBytes": header, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
}

func tenantItem(name, key string, rate, burst float64) obj {
	return item("tenants", name, obj{"apiKeys": []string{key}, "priority": 0, "ratePerS": rate, "burstSize": burst})
}
