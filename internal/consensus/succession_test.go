package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/consensus"
)

const (
	// successionSeeds is the number of groups, each with its own timeouts.
	successionSeeds = 400
	// successionLimitTicks is how long a group may have no leader: 2 s at six ticks to an
	// election timeout of 0.6 s.
	successionLimitTicks = 33
	// messagesPerTick is how often messages are delivered between two ticks: an election
	// takes far less time than a heartbeat interval.
	messagesPerTick = 8
)

// Callers and operators are refused while nobody leads. After two leaders lost in quick succession the remaining
// voters gave the third twice the time, each with twice the spread, and one that requested pre-votes too early waited
// for a whole timeout before it did so again.
func TestLeadersLostInQuickSuccession(t *testing.T) {
	for seed := range int64(successionSeeds) {
		c := newCluster(t, seed, 5)
		c.maxDelay = 1
		awaitLeader := func(limit int) *node {
			for ticks := 0; ; ticks++ {
				if n := c.leader(); n != nil && n.core.Role() == consensus.RoleLeader {
					return n
				}
				require.Less(t, ticks, limit, "seed %d, time %d: a leader", seed, c.now)
				c.step()
				for range messagesPerTick {
					c.deliver()
				}
			}
		}
		for range 6 {
			lost := awaitLeader(successionLimitTicks)
			for range 40 {
				c.step()
				c.deliver()
			}
			c.crash(lost, false)
			awaitLeader(successionLimitTicks)
			c.start(lost)
		}
	}
}
