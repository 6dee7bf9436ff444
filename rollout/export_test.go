package rollout

import "math"

// fixedAnswers is the number of answers that the fixed test waits for, and fixedSigmas the
// number of standard deviations by which the shares of bad answers must differ then.
const (
	fixedAnswers = 50
	fixedSigmas  = 3
)

// UseFixedTest replaces the sequential test by a test after a fixed number of answers, for
// comparison.
func (rol *Rollout) UseFixedTest() {
	rol.isFaulty = func(cou Counts) bool {
		answers := float64(cou.NewGood + cou.NewBad)
		if answers < fixedAnswers {
			return false
		}
		rate := cou.oldBadRate()
		return float64(cou.NewBad)/answers > rate+fixedSigmas*math.Sqrt(rate*(1-rate)/answers)
	}
}
