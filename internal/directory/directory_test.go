package directory_test

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"

	"fennelyard/internal/directory"
	"fennelyard/internal/schema"
)

func TestSelect(t *testing.T) {
	const suspect, dead = schema.HostState_HOST_STATE_SUSPECT, schema.HostState_HOST_STATE_DEAD
	for _, test := range []struct {
		name    string
		entries []directory.Entry
		want    []string
	}{
		{"local before remote", []directory.Entry{{Address: "1", DataCentre: "b"}, {Address: "2", DataCentre: "a"}}, []string{"2", "1"}},
		{"less loaded first", []directory.Entry{{Address: "1", DataCentre: "a", Load: 80}, {Address: "2", DataCentre: "a"}}, []string{"2", "1"}},
		{"stopping and dead entries are excluded", []directory.Entry{
			{Address: "1", Stopping: true}, {Address: "2", State: dead}, {Address: "3"}, {Address: "4", State: suspect},
		}, []string{"3"}},
		{"suspects only without other entries", []directory.Entry{{Address: "1", State: dead}, {Address: "2", State: suspect}}, []string{"2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, directory.Select(test.entries, "a", rand.New(rand.NewSource(1)).Intn))
		})
	}
}

func TestCallersSpreadOverEntries(t *testing.T) {
	random := rand.New(rand.NewSource(1)).Intn
	entries := []directory.Entry{{Address: "1", Load: 1}, {Address: "2"}, {Address: "3", Load: 3}}
	first := map[string]int{}
	for range 300 {
		first[directory.Select(entries, "", random)[0]]++
	}
	for _, e := range entries {
		assert.Greater(t, first[e.Address], 60)
	}
}
