package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

type obj = map[string]any

func resource(kind, name string, spec obj) obj {
	m := obj{}
	if name != "" {
		m["name"] = name
	}
	return obj{"resourceKind": kind, "metadata": m, "spec": spec}
}

// configDocument encodes a configuration with the field order of the documented example.
func configDocument(version int, resources []obj) []byte {
	var parts []string
	for _, res := range resources {
		k, _ := json.Marshal(res["resourceKind"])
		m, _ := json.Marshal(res["metadata"])
		s, _ := json.Marshal(res["spec"])
		parts = append(parts, fmt.Sprintf(`{"resourceKind":%s,"metadata":%s,"spec":%s}`, k, m, s))
	}
	return []byte(fmt.Sprintf(`{"configVersion":"r%d","resourceList":[%s]}`, version, strings.Join(parts, ",")))
}

func routeResource(name, host, prefix, kind, service string, timeout string, attempts int) obj {
	return resource("routes", name, obj{"host": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout, "targetLatency": "300ms",
		"priority": 1, "targetService": service, "maxAttempts": attempts, "public": false})
}

func serviceResource(name string) obj {
	return resource("services", name, obj{"healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tlsEnabled": false})
}

func limitsResource(maxHeaderBytes int) obj {
	return resource("limits", "", obj{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
}

func tenantResource(name, key string, rate, burst float64) obj {
	return resource("tenants", name, obj{"apiKeys": []string{key}, "priority": 0, "ratePerS": rate, "burstSize": burst})
}
