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
	// surveyInterval is how often the coordinator checks whether its measurements differ from the
	// stored ones: each write is a call, and a change that all hosts read.
	surveyInterval = 3 * time.Second
	// surveyTimeout bounds the writing of the measurements.
	surveyTimeout = time.Second
)

// takeSurvey applies the stored measurements of the engines' speed.
func (wat *observer) takeSurvey(val store.Value) {
	mea, err := platform.DecodeSurvey(val)
	if !wat.refused.usable(val, err, "stored measurements invalid, ignored") {
		return
	}
	wat.host.desk.takeSurvey(mea)
}

func (bro *desk) takeSurvey(mea pace.Measurements) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.survey = mea
	bro.step(scheduler.MeasurementsRead{Measurements: mea})
}

// unrecordedMeasurements returns the measurements of this host's scheduler, and whether they differ
// from the stored ones. It returns nothing unless this host is the coordinator.
func (bro *desk) news() (pace.Measurements, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.active != bro.host.epoch || bro.roster.outside || len(bro.roster.members) == 0 {
		return pace.Measurements{}, false
	}
	mea := bro.core.Measurements()
	return mea, bro.survey.Differs(mea)
}

// keepSurvey writes this host's measurements of the engines' speed to the store while it is the
// coordinator, so that starting hosts begin with them.
func (hos *Host) keepSurvey(ctx context.Context) error {
	tick := time.NewTicker(surveyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if mea, differs := hos.desk.news(); differs {
				hos.record(ctx, mea)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordMeasurements writes the measurements. A write that fails is repeated if they still differ.
func (hos *Host) record(ctx context.Context, mea pace.Measurements) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	data, err := platform.EncodeSurvey(mea)
	if err == nil {
		_, err = hos.store.Put(ctx, store.Write{Key: platform.SurveyKey(), Data: data, Blind: true})
	}
	if err != nil {
		hos.log.Warn().Err(err).Int("Bytes", len(data)).Msg("writing the measurements failed")
		return
	}
	hos.log.Info().Int("Bytes", len(data)).Msg("survey recorded")
}
