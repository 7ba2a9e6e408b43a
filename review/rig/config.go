package main

// Names of the deployment.
const (
	engineService = "llm-desk"
	plainService  = "orders-app"
	draftPath     = "/order-draft/1"
	confirmPath   = "/order-confirm/1"
	checkPath     = "/stock-check/1"
	tenantName    = "huka270"
	tenantKey     = "xd9dnn2ctnfzs989anu6"
)

// config returns the operator's config of a version.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": aim, "priority": 1,
			"service": service, "max-attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gap-aim-ms": 180,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", "/order-draft/", "streaming", engineService, 39000, 1800, 2, true),
			route("r-confirm", "/order-confirm/", "unsafe", plainService, 1500, 300, 1, false),
			route("r-check", "/stock-check/", "safe", plainService, 1500, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": engineService, "health-path": "/health", "max-conns": 282, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slot-count": 24, "kv-capacity": 34261, "kv-token-bytes": 35136, "link-mbps": 5100.0, "moves": false, "backups": false, "stride": 4, "most": 12,
				"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": plainService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api-keys": []string{tenantKey}, "priority": 1}},
	}
}
