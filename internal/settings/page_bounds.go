package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fennelyard/internal/bound"
	"fennelyard/internal/drain"
	"fennelyard/internal/listener"
	"fennelyard/internal/memory"
)

// writeBounds writes the tables of what is no setting: bounds on what peers send, and the times of a stop.
func writeBounds(b *strings.Builder) {
	b.WriteString("\n## Bounds\n\nWhat is read of a peer; see [design/bounds.md](design/bounds.md). They are constants. What exceeds one is a protocol error: " +
		"the connection is reset, and the request counts as one that may have run.\n\n| bound | value | of what |\n|---|---|---|\n")
	for _, row := range []struct {
		name  string
		value int64
		of    string
	}{
		{bound.KindHead.String(), bound.HeadBytes, "bytes of status lines and headers of all responses that are read for one request, those of other requests and informational ones included"},
		{bound.KindFields.String(), bound.HeadFields, "lines of these"},
		{bound.KindInterim.String(), bound.InterimResponses, "informational responses (1xx) before a response"},
		{bound.KindDiscarded.String(), bound.DiscardedBytes, "bytes of a response to another request, behind which the response is read"},
		{bound.KindEvent.String(), bound.EventBytes, "bytes of one event of a stream"},
		{bound.KindReply.String() + " (model servers)", bound.ReportBytes, "bytes of a reply to an order or a query"},
		{bound.KindReply.String() + " (engines of listed hosts)", bound.OrderReplyBytes, "bytes of a reply to an order"},
		{bound.KindHead.String() + " (hosts, model servers, engines)", bound.ReplyHeadBytes, "bytes of the head of a reply to a call"},
	} {
		fmt.Fprintf(b, "| `%s` | %d | %s |\n", row.name, row.value, row.of)
	}
	fmt.Fprintf(b, "\nBodies that match their request have no bound. Of a response %d bytes are held until it is complete; what is longer, or finds no memory "+
		"(`buffer-mb`), is forwarded as it comes. %d bytes of each body are free. Events over %d bytes take a place of %d bytes each, as many as a quarter of "+
		"`buffer-mb` holds, and wait for one. A caller's body must have arrived by the deadline of its request, and after %v where that is not known yet: "+
		"on listed hosts, and before the first configuration.\n", bound.HeldResponseBytes, memory.FreeBytes, bound.SmallEventBytes, bound.EventBytes, bound.BodyTimeout)
	writeConnections(b)
	fmt.Fprintf(b, "\n## Times of a stop\n\nParts of `stop-limit`, or of `drain-limit` on listed hosts, from the signal on; see [design/stops.md](design/stops.md).\n\n"+
		"| until | what |\n|---|---|\n"+
		"| %v | connections are accepted, and requests are taken that end in time by an estimate; on listed hosts at most `directory-keep` and a second |\n"+
		"| %v | requests are taken whose deadline is before this; then every request gets its final response |\n"+
		"| %v | the process ends, earlier if nothing is left |\n\n"+
		"What is refused has a Retry-After of %v.\n", percent(drain.AcceptFraction), percent(drain.AbortFraction), percent(drain.CloseFraction), drain.RetryAfter.Round(time.Millisecond))
}

// writeConnections writes the table of what connections may take together.
func writeConnections(b *strings.Builder) {
	b.WriteString("\n## Connections\n\nWhat all connections of a process may take together, whoever opens them; see [design/connections.md](design/connections.md). " +
		"Descriptors are those of `max-descriptors` or of the system, less a sixteenth for files. The memory is `memory-mb`; without it connections are bounded by descriptors alone. " +
		"Of the two limits of a port the lower one holds. Where it is reached, a new connection replaces the one that has waited for a request for the longest time; " +
		"while all have one, requests on a few further connections get 503 with Retry-After, and others are closed.\n\n| process | port | descriptors | memory |\n|---|---|---|---|\n")
	for _, process := range []struct {
		name   string
		shares map[listener.Port]listener.Share
	}{
		{"entry", listener.EntryShares},
		{"control host", listener.ControlShares},
		{"listed host", listener.ListedShares},
	} {
		for _, port := range slices.Sorted(maps.Keys(process.shares)) {
			share := process.shares[port]
			fmt.Fprintf(b, "| %s | %v | 1/%.0f | 1/%.0f |\n", process.name, port, 1/share.Descriptors, 1/share.Memory)
		}
	}
	b.WriteString(listener.Description())
}

func percent(fraction float64) string { return fmt.Sprintf("%.0f%%", 100*fraction) }
