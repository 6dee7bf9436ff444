package soak

import "time"

// maxStopGap bounds the time between two planned stops of a series; each lasts for longer than that.
const maxStopGap = 600 * time.Millisecond

// changeProcesses stops all hosts as planned, one shortly after the other, in one of three calls. Each is started
// again when it has ended, and one of them may be killed while it is stopping.
func (sys *system) changeProcesses() {
	if sys.processRandom.IntN(3) != 0 {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), "stop all hosts, overlapping")
	for _, num := range sys.processRandom.Perm(len(sys.hosts)) {
		hos := sys.hosts[num]
		if hos.down {
			continue
		}
		hos.down, hos.restarts = true, true
		hos.recordDisturbance()
		hos.Terminate()
		sys.wait(time.Duration(sys.processRandom.Int64N(int64(maxStopGap))))
		if sys.processRandom.IntN(4) == 0 {
			hos.Kill()
		}
	}
}

// restartEnded starts the hosts again that changeProcesses has stopped and that have ended.
func (sys *system) restartEnded() {
	for _, hos := range sys.hosts {
		if _, ended := hos.ExitStatus(); ended && hos.down && hos.restarts {
			sys.startHost(hos)
		}
	}
}
