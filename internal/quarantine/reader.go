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

// ReaderConfig configures a Reader. The zero value of a limit means the one of a stream between hosts.
type ReaderConfig struct {
	Part Part
	// RecordsPerSecond is the maximum number of records a second, and Burst the one at once after a
	// time with fewer.
	RecordsPerSecond float64
	Burst            int
	// MaxAge is how long ago a server may have ended under a suspect at most; 0: any time.
	MaxAge time.Duration
}

// Reader reads a part of a set for one other host, each change once. It is for use by one
// goroutine.
type Reader struct {
	suspects *SuspectSet
	cfg      ReaderConfig
	// likely and others are the change numbers up to which the other host was sent the
	// records of likely suspects, and all others.
	likely, others uint64
	// tokens is the number of records that could be sent at lastRefill.
	tokens     float64
	lastRefill time.Time
	// behind is set if the limits left records for later calls.
	behind bool
}

// Reader returns a Reader that starts with all records of a part.
func (s *SuspectSet) Reader(part Part) *Reader { return s.NewReader(ReaderConfig{Part: part}) }

// NewReader returns a Reader that starts with all records of a part.
func (s *SuspectSet) NewReader(cfg ReaderConfig) *Reader {
	if cfg.RecordsPerSecond == 0 {
		cfg.RecordsPerSecond = maxRecordsPerSecond
	}
	if cfg.Burst == 0 {
		cfg.Burst = maxReaderBurst
	}
	return &Reader{suspects: s, cfg: cfg, tokens: float64(cfg.Burst), lastRefill: s.cfg.Now()}
}

// Next returns the records that changed since the last call, within the limits; later calls
// return the rest. Those of likely suspects come first: when a busy engine ends,
// hundreds of others are recorded with them.
func (r *Reader) Next() []*schema.Suspect {
	if r.suspects.Empty() {
		return nil
	}
	now := r.suspects.cfg.Now()
	r.tokens = min(r.tokens+r.cfg.RecordsPerSecond*now.Sub(r.lastRefill).Seconds(), float64(r.cfg.Burst))
	r.lastRefill = now
	recent := func(x *record) bool { return r.cfg.MaxAge == 0 || now.Sub(x.lastEnded) <= r.cfg.MaxAge }
	list, likely := r.suspects.since(r.likely, r.cfg.Part, int(r.tokens), func(x *record) bool { return x.likely() && recent(x) })
	others, to := r.suspects.since(r.others, r.cfg.Part, int(r.tokens)-len(list), func(x *record) bool { return !x.likely() && recent(x) })
	r.likely, r.others = likely, to
	r.behind = len(list)+len(others) >= int(r.tokens)
	r.tokens -= float64(len(list) + len(others))
	return append(list, others...)
}

// Behind reports whether the limits may have left records for later calls.
func (r *Reader) Behind() bool { return r.behind }
