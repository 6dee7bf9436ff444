package entry

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

const (
	// measurementsInterval is how often the coordinator checks whether its measurements differ from
	// the stored ones: each write is a call, and a change that all hosts read.
	measurementsInterval = 3 * time.Second
	// measurementsTimeout bounds the writing of the measurements.
	measurementsTimeout = time.Second
)

// applyMeasurements applies the stored measurements of the engines' speed.
func (wat *storeWatcher) applyMeasurements(val store.Value) {
	mea, err := platform.DecodeMeasurements(val)
	if !wat.invalidValues.checkValue(val, err, "stored measurements invalid, ignored") {
		return
	}
	wat.host.broker.applyMeasurements(mea)
}

func (bro *broker) applyMeasurements(mea pace.Measurements) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.measurements = mea
	bro.handleLocked(scheduler.MeasurementsRead{Measurements: mea})
}

// unwrittenMeasurements returns the measurements of this host's scheduler, and whether they differ
// from the stored ones. It returns false unless this host is the coordinator and registered.
func (bro *broker) unwrittenMeasurements() (pace.Measurements, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.coordinator != bro.host.epoch || bro.membership.unregistered || len(bro.membership.members) == 0 {
		return pace.Measurements{}, false
	}
	mea := bro.core.Measurements()
	return mea, bro.measurements.Differs(mea)
}

// maintainMeasurements writes this host's measurements of the engines' speed to the store while it
// is the coordinator, so that starting hosts begin with them.
func (hos *Host) maintainMeasurements(ctx context.Context) error {
	tick := time.NewTicker(measurementsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if mea, differs := hos.broker.unwrittenMeasurements(); differs {
				hos.writeMeasurements(ctx, mea)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writeMeasurements writes the measurements. After a failure they are written again at the next
// check if they still differ.
func (hos *Host) writeMeasurements(ctx context.Context, mea pace.Measurements) {
	ctx, cancel := context.WithTimeout(ctx, measurementsTimeout)
	defer cancel()
	data, err := platform.EncodeMeasurements(mea)
	if err == nil {
		_, err = hos.store.Put(ctx, store.Write{Key: platform.MeasurementsKey(), Data: data, Blind: true})
	}
	if err != nil {
		hos.log.Warn().Err(err).Int("Bytes", len(data)).Msg("writing the measurements failed")
		return
	}
	hos.log.Info().Int("Bytes", len(data)).Msg("measurements written")
}
