package quarantine

//go:generate go tool stringer -type=Source -linecomment

// Source is where a change of a record came from.
type Source int

// Sources.
const (
	// SourceOwn is what this host found itself.
	SourceOwn Source = iota // own
	// SourceEntry is a report of an entry.
	SourceEntry // entry
	// SourceControl is an update of the control host, or at a control host of the leader.
	SourceControl // control
	// SourceLog is what an earlier leader recorded.
	SourceLog // log
)

// maxSuspectsLogged is the maximum number of suspects in a log line.
const maxSuspectsLogged = 8
