// Package ratelimit makes all entries together keep the request limits that backend servers
// state in their responses. A response reaches one entry only. The entry reports the limit,
// the leader sends it to all entries with the server, and divides it: an entry sends a request
// to a server with a limit only with a permit of the leader. Permits expire, and an entry that
// is cut off from the leader keeps to a small share of the limit.
package ratelimit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// minRate is the request rate, in 1/s, that a server gets whatever limit it states: the end
	// of a limit shows only in a response.
	minRate = 1.0 / 30
	// basePermitValidity is how long a permit is valid, in addition to the time in which the
	// limit allows the next one: the time for which the leader grants permits in advance.
	basePermitValidity = time.Second
)

// Rate returns the request rate, in 1/s, that a limit allows; the limit must be set.
func Rate(l *schema.RequestLimit) float64 { return max(l.GetPerSecond(), minRate) }

// permitValidity returns how long a permit for a server with a limit is valid. Within a time w
// all entries use no more permits than the limit allows in w + permitValidity, which exceeds w by
// one permit and basePermitValidity.
func permitValidity(l *schema.RequestLimit) time.Duration {
	return basePermitValidity + seconds(1/Rate(l))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stricter reports whether a limit allows less than another. A limit that is nil or not limited
// allows any number of requests.
func Stricter(a, b *schema.RequestLimit) bool {
	return a.GetLimited() && (!b.GetLimited() || a.GetPerSecond() < b.GetPerSecond())
}

func sameValue(a, b *schema.RequestLimit) bool { return !Stricter(a, b) && !Stricter(b, a) }

// Newer returns the newer of two limits of a server: the one with the higher revision, or of two
// with the same revision the stricter one.
func Newer(a, b *schema.RequestLimit) *schema.RequestLimit {
	if b.GetRevision() > a.GetRevision() || b.GetRevision() == a.GetRevision() && Stricter(b, a) {
		return b
	}
	return a
}

// Apply applies a report to the leader's limit of a server, and reports whether the limit
// changed. A response shows what its server stated at some time between its request and its
// arrival. An observation of a request that was sent with the current limit known is newer than
// that limit. Of others the order is unknown, and they are accepted only if they are stricter: an
// old response that arrives late must not end a limit. If it brings an old limit back, the next
// response ends it again.
func Apply(current *schema.RequestLimit, report *schema.ServerLimit) (limit *schema.RequestLimit, changed bool) {
	reported := report.GetLimit()
	switch {
	case !report.GetObserved():
		limit = Newer(current, reported)
		return limit, !proto.Equal(limit, current)
	case sameValue(current, reported) && reported.GetRevision() <= current.GetRevision():
		return current, false
	case reported.GetRevision() >= current.GetRevision() || Stricter(reported, current):
		return &schema.RequestLimit{
			Limited: reported.GetLimited(), PerSecond: reported.GetPerSecond(),
			Revision: max(reported.GetRevision(), current.GetRevision()) + 1,
		}, true
	}
	return current, false
}
