package main

import "encoding/json"

type item map[string]any

func route(name, host, prefix, kind, service string, timeout string, attempts int, public bool) item {
	return item{"resourceKind": "routes", "metadata": item{"name": name}, "spec": item{"host": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
		"targetLatency": "300ms", "priority": 1, "targetService": service, "maxAttempts": attempts, "public": public}}
}

func service(name string) item {
	return item{"resourceKind": "services", "metadata": item{"name": name}, "spec": item{"healthCheckPath": "/health", "maxConnections": 150, "protocol": "h1", "tlsEnabled": false}}
}

func tenant(name string, rate, burst float64, keys ...string) item {
	return item{"resourceKind": "tenants", "metadata": item{"name": name}, "spec": item{"apiKeys": keys, "priority": 0, "ratePerS": rate, "burstSize": burst}}
}

func limits(idle string) item {
	return item{"resourceKind": "limits", "metadata": item{}, "spec": item{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": idle}}
}

// configuration formats a configuration.
func configuration(version string, items ...item) []byte {
	raw, _ := json.Marshal(struct {
		ConfigVersion string `json:"configVersion"`
		ResourceList  []item `json:"resourceList"`
	}{version, items})
	return raw
}
