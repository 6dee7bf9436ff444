package modeltest_test

import (
	"flag"
	"os"
	"testing"
)

// defaults holds the values of flags that are not given, so that a plain run is reproducible.
var defaults = map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(fla *flag.Flag) { given[fla.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
