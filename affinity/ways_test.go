package affinity_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lynxwell.dev/lynxwell/affinity"
)

// The deployment of the comparison, and its roll-out: every rolloutStep an engine of the next version replaces one.
const (
	wayEngines   = 18
	wayReplaced  = 9
	rolloutStep  = 400 * time.Millisecond
	streamsPerS  = 62
	streamTime   = 10 * time.Second
	recordedLife = 30 * time.Second
	wayRuns      = 200
)

// begunStream is a stream of the comparison.
type begunStream struct {
	id      affinity.Stream
	at      time.Duration
	version int
}

// play is one roll-out with a loss of all hosts.
type play struct {
	random  *rand.Rand
	streams []begunStream
	lostAt  time.Duration
}

// newPerEngine returns how many engines of the next version serve at a time.
func newPerEngine(at time.Duration) int {
	return max(0, min(wayReplaced, int(at/rolloutStep)+1))
}

// chosen returns the version that a hash selects while a number of engines are of the next version.
func chosen(str affinity.Stream, next int) int {
	if float64(str)/float64(1<<63)/2 < float64(next)/wayEngines {
		return 1
	}
	return 0
}

// newPlay draws the streams that live when all hosts are lost. By hash, they begin at the version that their id selects;
// otherwise at any engine.
func newPlay(seed uint64, byHash bool) *play {
	ply := &play{random: rand.New(rand.NewPCG(seed, 1))}
	ply.lostAt = time.Duration(ply.random.Int64N(int64(15 * time.Second)))
	for num := range int(streamTime.Seconds() * streamsPerS) {
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], ply.random.Uint64())
		str := begunStream{id: affinity.StreamOf("a", fmt.Sprint(num, raw)), at: ply.lostAt - time.Duration(ply.random.Int64N(int64(streamTime)))}
		str.version = 0
		if ply.random.IntN(wayEngines) < newPerEngine(str.at) {
			str.version = 1
		}
		if byHash {
			str.version = chosen(str.id, newPerEngine(str.at))
		}
		ply.streams = append(ply.streams, str)
	}
	return ply
}

// stored returns how many streams go on, and how many at the other version, if their origins are stored at an interval.
func (ply *play) stored(interval time.Duration) (goOn, mixed int) {
	for _, str := range ply.streams {
		written := (str.at/interval + 1) * interval
		if str.at < 0 {
			written = str.at.Truncate(interval)
		}
		if written <= ply.lostAt {
			goOn++
		}
	}
	return goOn, 0
}

// computed is the same if the version is computed from the id and the shares that the store keeps: a stream goes on if
// all shares within the life of a stream select the same version for it.
func (ply *play) computed() (goOn, mixed int) {
	for _, str := range ply.streams {
		versions := make(map[int]bool)
		for at := ply.lostAt - recordedLife; at <= ply.lostAt; at += rolloutStep / 4 {
			versions[chosen(str.id, newPerEngine(at))] = true
		}
		if len(versions) == 1 {
			goOn++
			if !versions[str.version] {
				mixed++
			}
		}
	}
	return goOn, mixed
}

// BenchmarkOriginWays compares ways in which the origins of streams outlast all hosts, with the same seeds: the share of
// the streams that can go on, and the store's writes a second.
func BenchmarkOriginWays(b *testing.B) {
	ways := map[string]struct {
		writes float64
		run    func(*play) (int, int)
	}{
		"stored each 100 ms":  {10, func(ply *play) (int, int) { return ply.stored(100 * time.Millisecond) }},
		"stored each 250 ms":  {4, func(ply *play) (int, int) { return ply.stored(250 * time.Millisecond) }},
		"stored each 1 s":     {1, func(ply *play) (int, int) { return ply.stored(time.Second) }},
		"computed, by shares": {0, func(ply *play) (int, int) { return ply.computed() }},
	}
	for name, way := range ways {
		b.Run(name, func(b *testing.B) {
			goOn, mixed, all := 0, 0, 0
			for range b.N {
				goOn, mixed, all = 0, 0, 0
				for seed := range uint64(wayRuns) {
					ply := newPlay(seed, way.writes == 0)
					more, wrong := way.run(ply)
					goOn, mixed, all = goOn+more, mixed+wrong, all+len(ply.streams)
				}
			}
			b.ReportMetric(float64(goOn)/float64(all), "go-on")
			b.ReportMetric(float64(mixed)/float64(all), "mixed")
			b.ReportMetric(way.writes, "writes/s")
		})
	}
}
