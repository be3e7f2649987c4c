package main

import (
	"encoding/json"
	"fmt"
)

const (
	host   = "balkonna.example"
	prefix = "/history/"
)

// manifest is what a case sets of the operator's document.
type manifest struct {
	version   int
	service   string
	timeoutMS int
	key       string
	tenant    string
	rate      float64
	burst     float64
	// weights, unless nil, split the route's requests between the service and itself.
	weights []float64
}

// write writes the document as the operator does; the store's acknowledgement is immediate.
func (l *lab) write(m manifest) error {
	route := map[string]any{
		"host": host, "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": m.timeoutMS,
		"target_latency_ms": 1500, "priority": 2, "attempts": 2, "public": m.tenant == "",
	}
	if m.weights == nil {
		route["service"] = m.service
	} else {
		split := []map[string]any{}
		for _, w := range m.weights {
			split = append(split, map[string]any{"service": m.service, "weight": w})
		}
		route["traffic_split"] = split
	}
	document := map[string]any{
		"version":  fmt.Sprintf("r%d", m.version),
		"routes":   map[string]any{"r-read": route},
		"services": map[string]any{m.service: map[string]any{"health_path": "/health", "max_connections": 430, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if m.tenant != "" {
		document["tenants"] = map[string]any{m.tenant: map[string]any{"api_keys": []string{m.key}, "priority": 1, "rate_per_s": m.rate, "burst": m.burst}}
	}
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	l.store.Put("op/config", value)
	l.note("manifest r%d acknowledged: tenant %q, rate %g, burst %g", m.version, m.tenant, m.rate, m.burst)
	return nil
}
