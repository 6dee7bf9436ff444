package route_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/route"
)

// sampleConfiguration returns a valid configuration with two routes of one host name.
func sampleConfiguration() route.Configuration {
	return route.Configuration{
		Version:  3,
		Services: []route.Service{{Name: "one"}, {Name: "two"}},
		Routes: []route.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/a/", Shares: []route.Share{{Service: "one", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1},
			{Name: "long", Host: "a.example", PathPrefix: "/a/b/", Shares: []route.Share{{Service: "two", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1},
		},
		Accounts: []route.Account{{Name: "kitchen", Keys: []string{"k1", "k2"}, ByTokens: true, DefaultTokens: 200}},
	}
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	tab, err := route.NewTable(sampleConfiguration())
	assert.NilError(t, err)
	for target, want := range map[[2]string]string{
		{"a.example", "/a/x"}:        "short",
		{"A.example:80", "/a/b/x"}:   "long",
		{"a.example", "/a/bx"}:       "short",
		{"a.example", "/"}:           "",
		{"b.example", "/a/b/x"}:      "",
		{"a.example.org", "/a/b/x"}:  "",
		{"a.example", "/a"}:          "",
		{"a.example:8080", "/a/b/c"}: "long",
	} {
		rou, found := tab.Match(target[0], target[1])
		assert.Equal(t, rou.Name, want, "%v", target)
		assert.Equal(t, found, want != "")
	}
}

func TestNewTableReportsTheInvalidField(t *testing.T) {
	for field, change := range map[string]func(*route.Configuration){
		"Services[1].Name":      func(con *route.Configuration) { con.Services[1].Name = "" },
		"Routes[0].Host":        func(con *route.Configuration) { con.Routes[0].Host = "" },
		"Routes[1].PathPrefix":  func(con *route.Configuration) { con.Routes[1].PathPrefix = "/a" },
		"Routes[0].Shares":      func(con *route.Configuration) { con.Routes[0].Shares[0].Service = "none" },
		"Routes[0].Timeout":     func(con *route.Configuration) { con.Routes[0].Timeout = 0 },
		"Routes[0].MaxAttempts": func(con *route.Configuration) { con.Routes[0].MaxAttempts = 0 },
		"Accounts[0].Name":      func(con *route.Configuration) { con.Accounts[0].Name = "" },
		"Accounts[1].Keys": func(con *route.Configuration) {
			con.Accounts = append(con.Accounts, route.Account{Name: "other", Keys: []string{"k2"}})
		},
	} {
		t.Run(field, func(t *testing.T) {
			con := sampleConfiguration()
			change(&con)
			_, err := route.NewTable(con)
			var fer *route.FieldError
			assert.Assert(t, errors.As(err, &fer), "%v", err)
			assert.Equal(t, fer.Field, field)
		})
	}
}

func TestCostIsInTokensOrRequests(t *testing.T) {
	acc := route.Account{ByTokens: true, DefaultTokens: 200}
	assert.Equal(t, acc.Cost(1500, true), 1500.0)
	assert.Equal(t, acc.Cost(0, false), 200.0)
	assert.Equal(t, route.Account{}.Cost(1500, true), 1.0)
	assert.Equal(t, acc.Cost(0, true), 0.0, "a request that states no tokens at all isn't one that doesn't state them")
}

// Over one full range of points, each service must be picked as often as its weight states.
func TestPickFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Uint32Range(0, 50), 1, 5).Draw(rt, "weights")
		rou := route.Route{}
		var total uint64
		for idx, weight := range weights {
			rou.Shares = append(rou.Shares, route.Share{Service: string(rune('a' + idx)), Weight: weight})
			total += uint64(weight)
		}
		counts := make(map[string]uint64)
		for point := range max(1, total) {
			counts[rou.Pick(point)]++
		}
		for _, sha := range rou.Shares {
			if total > 0 && counts[sha.Service] != uint64(sha.Weight) {
				rt.Fatalf("service %s got %d of %d points, want %d", sha.Service, counts[sha.Service], total, sha.Weight)
			}
		}
	})
}
