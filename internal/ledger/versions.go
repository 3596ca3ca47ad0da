package ledger

import (
	"strconv"
	"strings"

	"fennelyard/internal/schema"
)

const versionPrefix = "version/"

// VersionKey returns the key of the record of a version of a pool's software.
func VersionKey(v *schema.PoolVersion) string {
	// The length tells pools apart whose names contain the separator.
	return versionPrefix + strconv.Itoa(len(v.GetPool())) + "/" + v.GetPool() + "/" + v.GetSoftware()
}

// IsVersionKey reports whether a key is that of a version of a pool's software.
func IsVersionKey(key string) bool { return strings.HasPrefix(key, versionPrefix) }

// PoolVersions returns the versions that are recorded as in use, in unspecified order.
func (r *Records) PoolVersions() []*schema.PoolVersion {
	return valuesOf(r, (*schema.Record).GetPoolVersion)
}

// rememberVersions records the versions of the software of pools' servers that are in use. An entry that starts after
// the last server of a version has ended would otherwise not know that streams may have begun there.
func (l *Ledger) rememberVersions(q *schema.RememberVersions) *schema.Result {
	for _, v := range q.GetUsed() {
		l.putIfChanged(&schema.Record{Key: VersionKey(v), Value: &schema.Record_PoolVersion{PoolVersion: v}})
	}
	for _, v := range q.GetUnused() {
		l.drop(VersionKey(v))
	}
	return accepted()
}
