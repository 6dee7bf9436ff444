package rollout

import "math"

// fixedAnswers is how many answers the fixed test waits for, and fixedSigmas by how many
// standard deviations the parts must differ then.
const (
	fixedAnswers = 50
	fixedSigmas  = 3
)

// UseFixedTest has the version judged by a fixed number of answers, for comparison.
func (rol *Rollout) UseFixedTest() {
	rol.isBad = func(cou Counts) bool {
		news := float64(cou.NewGood + cou.NewBad)
		if news < fixedAnswers {
			return false
		}
		usual := cou.formerPart()
		return float64(cou.NewBad)/news > usual+fixedSigmas*math.Sqrt(usual*(1-usual)/news)
	}
}
