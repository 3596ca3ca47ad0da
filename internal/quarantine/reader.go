package quarantine

import (
	"time"

	"fennelyard/internal/schema"
)

const (
	// maxRecordsPerSecond is the maximum number of records a second sent from one host to
	// another: 6 KB, which is what updates of servers and loads leave of a host's 18 KB a
	// second for control. A caller that repeats a thousand different harmful requests a
	// second is held back a little later.
	maxRecordsPerSecond = 68.0
	// maxReaderBurst is the maximum number of records sent at once after a time with fewer.
	maxReaderBurst = 256
)

// Reader reads a part of a set for one other host, each change once. It is for use by one
// goroutine.
type Reader struct {
	suspects *SuspectSet
	part     Part
	// likely and others are the change numbers up to which the other host was sent the
	// records of likely suspects, and all others.
	likely, others uint64
	// tokens is the number of records that could be sent at lastRefill.
	tokens     float64
	lastRefill time.Time
}

// Reader returns a Reader that starts with all records of a part.
func (s *SuspectSet) Reader(part Part) *Reader {
	return &Reader{suspects: s, part: part, tokens: maxReaderBurst, lastRefill: s.cfg.Now()}
}

// Next returns the records that changed since the last call, within maxRecordsPerSecond;
// later calls return the rest. Those of likely suspects come first: when a busy engine ends,
// hundreds of others are recorded with them.
func (r *Reader) Next() []*schema.Suspect {
	if r.suspects.Empty() {
		return nil
	}
	now := r.suspects.cfg.Now()
	r.tokens = min(r.tokens+maxRecordsPerSecond*now.Sub(r.lastRefill).Seconds(), maxReaderBurst)
	r.lastRefill = now
	list, likely := r.suspects.since(r.likely, r.part, int(r.tokens), (*record).likely)
	others, to := r.suspects.since(r.others, r.part, int(r.tokens)-len(list), func(r *record) bool { return !r.likely() })
	r.likely, r.others = likely, to
	r.tokens -= float64(len(list) + len(others))
	return append(list, others...)
}
