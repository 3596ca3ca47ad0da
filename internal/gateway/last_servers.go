package gateway

const (
	// lastServers is the number of servers of a version, beside servers of another one, up to which they
	// keep room for the streams that the version began: nobody else can resume these.
	lastServers = 2
	// resumeRoomDivisor is the inverse of the share of their room that they keep from other requests.
	// Others get it as well once they would wait as long elsewhere.
	resumeRoomDivisor = 4
)

// lastOfVersion returns the candidates that keep room for resumed streams from a request, nil for none; the
// caller holds mu.
func (f *fleet) lastOfVersion(candidates []*server, pool string, info *RequestInfo) map[*server]bool {
	if info.bound || len(f.versions[pool]) < 2 {
		return nil
	}
	ofVersion := map[string]int{}
	for _, s := range candidates {
		ofVersion[s.view.GetSoftware()]++
	}
	if len(ofVersion) < 2 {
		return nil
	}
	last := map[*server]bool{}
	for _, s := range candidates {
		if ofVersion[s.view.GetSoftware()] <= lastServers {
			last[s] = true
		}
	}
	return last
}

// keptSlots returns the number of an engine's slots that it keeps for resumed streams if it is one of the last.
func keptSlots(slots int) int { return (slots + resumeRoomDivisor - 1) / resumeRoomDivisor }

// relativeLoad returns the load by which a plain server is compared: for one of the last of a version, as many
// requests as it would have with what it keeps for resumed streams. An idle one is like others: otherwise the
// first servers of a new version would get nothing until all others are busy.
func relativeLoad(s *server, last map[*server]bool) int {
	if last[s] {
		return s.running * resumeRoomDivisor
	}
	return s.running * (resumeRoomDivisor - 1)
}
