package soak_test

import (
	"flag"
	"fmt"
	"testing"

	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/soak"
)

func TestMain(m *testing.M) { processtest.Main(m) }

var (
	seeds = flag.Int("soak.seeds", 0, "play so many fresh seeds from soak.first on")
	first = flag.Uint64("soak.first", 1, "the first of the fresh seeds")
	hosts = flag.Int("soak.hosts", 0, "hosts of the fresh seeds; 0 is the usual size")
)

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	97004: "at three times the machine's processors of other work no host heard of the store for four seconds, in eight plays of fifty; passes alone, since no promise is about that",
	97016: "the same: two plays at once stood still for three seconds, in the middle of a stream",
	98015: "one caller's request ended eight engines: the host that decided had lost the store and saw no entry go, and the others didn't tell it what they had concluded",
	96013: "the soak's own: it told an engine of its trouble in the moment in which a caller's request ended that engine",
	96042: "the same, of a word",
	91033: "an engine that had left got requests for 8.8 s by the one host whose way to the store was silent: it kept what others told it was gone",
	71015: "the soak's own: an engine that hung had told nothing, and the host's 504 was taken for its answer that it leaves",
}

// openSeeds are seeds that failed once for what isn't mended, with what was seen.
var openSeeds = map[uint64]string{
	94006: "a stream that others send too was held as one that ends engines: it had run on two engines with the request that ended them, and most likely alone on a third that broke its answer off and was ended by that request within ten seconds",
}

func TestOpenSeeds(t *testing.T) {
	for seed, why := range openSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(why)
			soak.Play(t, soak.Config{Seed: seed})
		})
	}
}

func TestSeeds(t *testing.T) {
	for _, seed := range []uint64{101, 102} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak.Play(t, soak.Config{Seed: seed})
		})
	}
}

func TestRegressions(t *testing.T) {
	for seed, why := range regressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(why)
			soak.Play(t, soak.Config{Seed: seed})
		})
	}
}

func TestFreshSeeds(t *testing.T) {
	for idx := range *seeds {
		seed := *first + uint64(idx)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak.Play(t, soak.Config{Seed: seed, Hosts: *hosts})
		})
	}
}
