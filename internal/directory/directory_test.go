package directory_test

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"

	"fennelyard/internal/directory"
	"fennelyard/internal/schema"
)

func TestChoose(t *testing.T) {
	const suspect, dead = schema.HostState_HOST_STATE_SUSPECT, schema.HostState_HOST_STATE_DEAD
	for _, c := range []struct {
		name  string
		hosts []directory.Entry
		want  []string
	}{
		{"near before far", []directory.Entry{{Address: "1", DataCentre: "b"}, {Address: "2", DataCentre: "a"}}, []string{"2", "1"}},
		{"less loaded first", []directory.Entry{{Address: "1", DataCentre: "a", Load: 80}, {Address: "2", DataCentre: "a"}}, []string{"2", "1"}},
		{"stopping and dead are left out", []directory.Entry{
			{Address: "1", Stopping: true}, {Address: "2", State: dead}, {Address: "3"}, {Address: "4", State: suspect},
		}, []string{"3"}},
		{"suspects where no other is left", []directory.Entry{{Address: "1", State: dead}, {Address: "2", State: suspect}}, []string{"2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, directory.Select(c.hosts, "a", rand.New(rand.NewSource(1)).Intn))
		})
	}
}

func TestCallersAreSpread(t *testing.T) {
	random := rand.New(rand.NewSource(1)).Intn
	hosts := []directory.Entry{{Address: "1", Load: 1}, {Address: "2"}, {Address: "3", Load: 3}}
	first := map[string]int{}
	for range 300 {
		first[directory.Select(hosts, "", random)[0]]++
	}
	for _, h := range hosts {
		assert.Greater(t, first[h.Address], 60)
	}
}
