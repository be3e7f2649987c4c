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
	keys      []string
	tenant    string
	rate      float64
	burst     float64
	// weights, unless nil, split the route's requests between the service and second.
	weights []float64
	second  string
}

// write writes the document as the operator does; the store's acknowledgement is immediate.
func (l *lab) write(m manifest) error {
	service := map[string]any{"health_path": "/health", "max_connections": 430, "protocol": "h1", "tls": false}
	services := map[string]any{m.service: service}
	route := map[string]any{
		"host": host, names["prefix"]: prefix, names["kind"]: "idempotent", "timeout_ms": m.timeoutMS,
		names["objective"]: 1500, "priority": 2, "attempts": 2, "public": m.tenant == "",
	}
	if m.weights == nil {
		route["service"] = m.service
	} else {
		route[names["split"]] = []map[string]any{
			{"service": m.service, "weight": m.weights[0]},
			{"service": m.second, "weight": m.weights[1]},
		}
		services[m.second] = service
	}
	document := map[string]any{
		"version":  fmt.Sprintf("r%d", m.version),
		"routes":   map[string]any{"r-read": route},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if m.tenant != "" {
		document["tenants"] = map[string]any{m.tenant: map[string]any{names["keys"]: m.keys, "priority": 1, names["rate"]: m.rate, "burst": m.burst}}
	}
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	l.store.Put(names["policy"], value)
	l.note("manifest r%d acknowledged: tenant %q, %d keys, rate %g, burst %g, weights %v", m.version, m.tenant, len(m.keys), m.rate, m.burst, m.weights)
	return nil
}
