package main

// Names in the configuration, in the form of the examples that the bench prints for vitalmesa-menus.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	streamPath   = "/lohu930/"
	unsafePath   = "/puxa403/"
	safePath     = "/cufi504/"
	apiKey       = "i9n73hh2b9wu3fexd9dn"
	tenantName   = "hule930"
)

// account is a tenant of the configuration.
func account(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 281217, "burst": 281217}
}

// configuration returns the operator's configuration with the given accounts.
func configuration(version int, accounts ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-rebuild", "hostname": hostName, "path_prefix": streamPath, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800,
				"priority": 0, "service": modelService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 400},
			{"name": "r-card", "hostname": hostName, "path_prefix": unsafePath, "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": plainService, "max_attempts": 2, "public": false},
			{"name": "r-label", "hostname": hostName, "path_prefix": safePath, "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 100,
				"priority": 2, "service": plainService, "max_attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": modelService, "health_path": "/health", "max_conns": 290, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 10, "kv_capacity": 571007, "stride": 5, "models": []map[string]any{{"name": "m"}}}},
			{"name": plainService, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": accounts,
	}
}
