package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Groups of hosts that have lost one another never have more than all limits.
func TestGroupsOfHostsShareTheLimits(t *testing.T) {
	for hosts := 1; hosts <= 12; hosts++ {
		for group := 1; group < hosts; group++ {
			sum := 1/limitParts(hosts, group) + 1/limitParts(hosts, hosts-group)
			assert.Assert(t, sum < 1.000001, "%d and %d of %d hosts have %f", group, hosts-group, hosts, sum)
		}
	}
	assert.Equal(t, limitParts(6, 6), 1.0)
	assert.Equal(t, limitParts(6, 1), 6.0)
	// Hosts that leave are served for a while, and a list may be empty.
	assert.Equal(t, limitParts(5, 6), 1.0)
	assert.Equal(t, limitParts(0, 1), 1.0)
}
