package control

// moveJobs gives jobs that can no longer run here to another home.
func (s *State) moveJobs() { s.probeQuarantined() }
