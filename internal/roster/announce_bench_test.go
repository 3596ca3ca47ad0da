package roster_test

import (
	"fmt"
	"testing"

	"fennelyard/internal/roster"
)

// BenchmarkAnnounce takes a word that changes nothing of one of 1,200 servers that tell
// their starts: 0.30 µs and one allocation, the view that is compared. By the id alone
// it took 0.23 µs and one; to decode the word takes thirty times as long.
func BenchmarkAnnounce(b *testing.B) {
	const servers = 1200
	r, _ := newRoster()
	words := make([]roster.Announcement, servers)
	for i := range words {
		words[i] = word(fmt.Sprintf("i-%x@1784556072000", i), fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), 1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := words[i%servers]
		a.Sequence = uint64(i + 1)
		r.Announce(a)
	}
}
