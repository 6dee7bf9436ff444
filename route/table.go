package route

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
)

// FieldError reports an invalid configuration.
type FieldError struct {
	// Field is the path of the invalid field, for example "Routes[2].Shares".
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (fer *FieldError) Error() string {
	return "configuration: " + fer.Field + ": " + fer.Reason
}

// Table indexes one configuration, so that hosts can look up routes, accounts and services.
type Table struct {
	configuration Configuration
	byHost        map[string][]Route
	byKey         map[string]Account
	byService     map[string]Service
	byAccount     map[string]Account
}

// NewTable checks the configuration and returns its table, or a *FieldError for the first invalid
// field.
func NewTable(con Configuration) (*Table, error) {
	tab := &Table{
		configuration: con,
		byHost:        make(map[string][]Route),
		byKey:         make(map[string]Account),
		byService:     make(map[string]Service),
		byAccount:     make(map[string]Account),
	}
	for idx, svc := range con.Services {
		if svc.Name == "" {
			return nil, fieldError(idx, "Services", "Name", "want a name")
		}
		tab.byService[svc.Name] = svc
	}
	for idx, rou := range con.Routes {
		if err := tab.checkRoute(idx, rou); err != nil {
			return nil, err
		}
		tab.byHost[rou.Host] = append(tab.byHost[rou.Host], rou)
	}
	for _, routes := range tab.byHost {
		slices.SortStableFunc(routes, func(one, two Route) int { return cmp.Compare(len(two.PathPrefix), len(one.PathPrefix)) })
	}
	return tab, tab.addAccounts()
}

func (tab *Table) checkRoute(idx int, rou Route) error {
	switch {
	case rou.Host == "":
		return fieldError(idx, "Routes", "Host", "want a host name")
	case !strings.HasPrefix(rou.PathPrefix, "/") || !strings.HasSuffix(rou.PathPrefix, "/"):
		return fieldError(idx, "Routes", "PathPrefix", "want a path that starts and ends with a slash")
	case len(rou.Shares) == 0:
		return fieldError(idx, "Routes", "Shares", "want a service")
	case rou.Timeout <= 0:
		return fieldError(idx, "Routes", "Timeout", "want more than 0")
	case rou.MaxAttempts < 1:
		return fieldError(idx, "Routes", "MaxAttempts", "want 1 or more")
	}
	for _, sha := range rou.Shares {
		if _, known := tab.byService[sha.Service]; !known {
			return fieldError(idx, "Routes", "Shares", "no such service: "+sha.Service)
		}
	}
	return nil
}

func (tab *Table) addAccounts() error {
	for idx, acc := range tab.configuration.Accounts {
		if acc.Name == "" {
			return fieldError(idx, "Accounts", "Name", "want a name")
		}
		tab.byAccount[acc.Name] = acc
		for _, key := range acc.Keys {
			if prev, taken := tab.byKey[key]; taken && prev.Name != acc.Name {
				return fieldError(idx, "Accounts", "Keys", "a key is already assigned to account "+prev.Name+", want each key in one account")
			}
			tab.byKey[key] = acc
		}
	}
	return nil
}

func fieldError(idx int, list, field, reason string) error {
	return &FieldError{Field: listField(idx, list, field), Reason: reason}
}

func listField(idx int, list, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, idx, field)
}

func routeField(idx int, field string) string { return listField(idx, "Routes", field) }

func accountField(idx int, field string) string { return listField(idx, "Accounts", field) }

// Configuration returns the configuration that the table indexes.
func (tab *Table) Configuration() Configuration {
	return tab.configuration
}

// Version returns the version of the configuration.
func (tab *Table) Version() uint64 {
	return tab.configuration.Version
}

// Match returns the route of the host name with the longest matching path prefix, and whether
// there is one. The host name may include a port.
func (tab *Table) Match(host, path string) (Route, bool) {
	for _, rou := range tab.routesOf(host) {
		if strings.HasPrefix(path, rou.PathPrefix) {
			return rou, true
		}
	}
	return Route{}, false
}

// routesOf returns the routes of a host name, which may include a port.
func (tab *Table) routesOf(host string) []Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return tab.byHost[strings.ToLower(host)]
}

// HasAccounts reports whether any client account is configured. Without accounts, no request
// needs a key.
func (tab *Table) HasAccounts() bool {
	return len(tab.configuration.Accounts) > 0
}

// Account returns the client account to which the key belongs, and whether there is one.
func (tab *Table) Account(key string) (Account, bool) {
	acc, known := tab.byKey[key]
	return acc, known
}

// AccountNamed returns the client account with the given name, and whether there is one.
func (tab *Table) AccountNamed(name string) (Account, bool) {
	acc, known := tab.byAccount[name]
	return acc, known
}

// Service returns the service with the given name, and whether there is one.
func (tab *Table) Service(name string) (Service, bool) {
	svc, known := tab.byService[name]
	return svc, known
}
