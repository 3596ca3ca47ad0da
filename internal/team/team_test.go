package team_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

func TestFind(t *testing.T) {
	salt := team.NewSalt()
	newTeam := func(name string, keys ...string) *schema.Team {
		out := &schema.Team{Name: name}
		for _, k := range keys {
			out.KeyDigests = append(out.KeyDigests, team.Digest(salt, k))
		}
		return out
	}
	d := team.NewDirectory(salt, []*schema.Team{newTeam("a", "k1", "k2"), newTeam("b", "k3"), newTeam("c")})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "": "", "K1": "", "k1 ": ""} {
		require.Equal(t, want, d.Find(key).GetName(), "key %q", key)
	}
	require.False(t, d.Empty())
}

// A team without API keys, whose last one was revoked, still requires a key. Otherwise
// every caller would be admitted.
func TestTeamWithoutKeysIsNotEmpty(t *testing.T) {
	require.True(t, team.NewDirectory(nil, nil).Empty())
	require.False(t, team.NewDirectory(nil, []*schema.Team{{Name: "a"}}).Empty())
}

func BenchmarkFind(b *testing.B) {
	salt := team.NewSalt()
	d := team.NewDirectory(salt, []*schema.Team{{Name: "a", KeyDigests: [][]byte{team.Digest(salt, "asnmgkcuyj8pjbvk9m68")}}})
	b.ReportAllocs()
	for b.Loop() {
		d.Find("asnmgkcuyj8pjbvk9m68")
	}
}
