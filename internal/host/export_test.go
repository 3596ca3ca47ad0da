package host

import "fennelyard/internal/ledger"

// Suspects returns how many requests the log names under which servers ended.
func (h *Host) Suspects() (n int) {
	h.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { n = len(r.KnownSuspects()) })
	return n
}
