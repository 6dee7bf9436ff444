package soak

// checkRunning checks that no host has ended by itself, and says how one did: it would only not be ready.
func (sys *system) checkRunning() {
	sys.t.Helper()
	for _, hos := range sys.hosts {
		status, exited := hos.ExitStatus()
		if exited && !hos.down {
			sys.t.Errorf("host %s ended by itself: exit code %d, signal %v", hos.set.Name, status.ExitStatus(), status.Signal())
		}
	}
}
