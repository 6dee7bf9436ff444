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
	// surveyInterval is how often the coordinator looks whether it has learned what
	// isn't recorded: each record is a call, and a change that all hosts read.
	surveyInterval = 3 * time.Second
	// surveyTimeout bounds the writing of a record.
	surveyTimeout = time.Second
)

// takeSurvey takes what the hosts have recorded of the engines' speed.
func (obs *observer) takeSurvey(val store.Value) {
	sur, err := platform.DecodeSurvey(val)
	if !obs.refused.usable(val, err, "survey passed over") {
		return
	}
	obs.host.desk.takeSurvey(sur)
}

func (des *desk) takeSurvey(sur pace.Survey) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.survey = sur
	des.step(scheduler.SurveyRead{Survey: sur})
}

// news returns what the own scheduler has learned beyond the record, if it decides
// for all hosts.
func (des *desk) news() (pace.Survey, bool) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if des.active != des.host.epoch || des.roster.outside || len(des.roster.members) == 0 {
		return pace.Survey{}, false
	}
	sur := des.core.Survey()
	return sur, des.survey.Differs(sur)
}

// keepSurvey records what this host has learned of the engines' speed while it
// coordinates, so that hosts that start begin with it.
func (hos *Host) keepSurvey(ctx context.Context) error {
	tick := time.NewTicker(surveyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if sur, differs := hos.desk.news(); differs {
				hos.record(ctx, sur)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// record writes the survey. One that fails is written again if it still differs.
func (hos *Host) record(ctx context.Context, sur pace.Survey) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	data, err := platform.EncodeSurvey(sur)
	if err == nil {
		_, err = hos.store.Put(ctx, store.Write{Key: platform.SurveyKey(), Data: data, Blind: true})
	}
	if err != nil {
		hos.log.Warn().Err(err).Int("Bytes", len(data)).Msg("survey not recorded")
		return
	}
	hos.log.Info().Int("Bytes", len(data)).Msg("survey recorded")
}
