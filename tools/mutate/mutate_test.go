package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against mutations that no longer apply since the code has changed: none of those after them is run either.
func TestMutationsApplyToTheSources(t *testing.T) {
	names := make(map[string]bool)
	for _, mut := range allMutations() {
		t.Run(mut.name, func(t *testing.T) {
			assert.Assert(t, !names[mut.name], "the name is used twice")
			names[mut.name] = true
			data, err := os.ReadFile(filepath.Join("..", "..", mut.file))
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(data), mut.old), 1, "occurrences in %s", mut.file)
		})
	}
}

// Guards against a mutation that counts as detected since a test failed that fails without it, too.
func TestKnownFailuresDetectNothing(t *testing.T) {
	list := "# heading\nTestGoodput/650engines/4 `go test` (each time): full\n\nTestDomain `go test`: requests\n"
	assert.Equal(t, knownRedTests(list), "^$|^TestGoodput$/^650engines$/^4$|^TestDomain$")
	assert.Equal(t, knownRedTests(""), "^$")
}
