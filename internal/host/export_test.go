package host

import "fennelyard/internal/ledger"

// PathLost reports whether the host has lost its path to the servers.
func (h *Host) PathLost() bool { return h.entry.PathLost() }

// Suspects returns how many requests the control log records as suspect, because
// servers ended while they ran them.
func (h *Host) Suspects() (n int) {
	h.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { n = len(r.KnownSuspects()) })
	return n
}
