package ledger

import "fennelyard/internal/schema"

const busyTeamPrefix = "busy-team/"

// BusyTeamKey returns the key of the record of a team that uses much of its quota.
func BusyTeamKey(team string) string { return busyTeamPrefix + team }

// BusyTeams returns the names of the teams that are recorded as using much of their quotas, in unspecified order.
func (r *Records) BusyTeams() []string {
	var out []string
	for _, b := range valuesOf(r, (*schema.Record).GetBusyTeam) {
		out = append(out, b.GetTeam())
	}
	return out
}

// rememberBusyTeams records which teams may use much of their quotas. After a power loss of all hosts nobody else knows
// what they used, and they would get as much again within the same window.
func (l *Ledger) rememberBusyTeams(q *schema.RememberBusyTeams) *schema.Result {
	for _, team := range q.GetBusy() {
		l.putIfChanged(&schema.Record{Key: BusyTeamKey(team), Value: &schema.Record_BusyTeam{BusyTeam: &schema.BusyTeam{Team: team}}})
	}
	for _, team := range q.GetQuiet() {
		l.drop(BusyTeamKey(team))
	}
	return accepted()
}
