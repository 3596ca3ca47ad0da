package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/settings"
)

const validSettings = `deployment: trial
host: one
hosts:
  - name: one
    data-centre: hall-a
    control: true
    peer-address: 10.0.0.1:7000
    caller-address: 10.0.0.1:7001
    operator-address: 10.0.0.1:7002
    backend-address: 10.0.0.1:7003
control:
  data-folder: /var/lib/fennelyard
entry:
  directory-keep: 5s
`

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		if strings.HasSuffix(f, "intent.yaml") {
			_, err = settings.LoadIntent(f)
		} else {
			_, err = settings.Load(f)
		}
		assert.NoError(t, err, f)
	}
}

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := settings.Parse("good.yaml", []byte(validSettings))
	require.NoError(t, err)
	assert.EqualValues(t, settings.DefaultQueueLimit, s.GetEntry().GetQueueLimit())
	assert.Equal(t, settings.DefaultHeartbeat, s.GetControl().GetHeartbeat().AsDuration())
	assert.EqualValues(t, settings.DefaultFullSpeedLoads, s.GetWeightStore().GetFullSpeedLoads())
}

func TestFaultsNameLineKeyAndRemedy(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		line           int
		key, message   string
	}{
		{"unknown key", "control: true", "kontrol: true", 6, "hosts[0].kontrol", "unknown key"},
		{"wrong unit", "directory-keep: 5s", "directory-keep: 5", 14, "entry.directory-keep", "a duration with its unit"},
		{"not a boolean", "control: true", "control: maybe", 6, "hosts[0].control", "true or false"},
		{"duplicate address", "10.0.0.1:7001", "10.0.0.1:7000", 8, "hosts[0].caller-address", "is already used by hosts[0].peer-address"},
		{"host name for an IP address", "10.0.0.1:7002", "one.example:7002", 9, "hosts[0].operator-address", "not IP:PORT"},
		{"unspecified address", "10.0.0.1:7002", "0.0.0.0:7002", 9, "hosts[0].operator-address", "cannot be reached"},
		{"control without a data folder", "  data-folder: /var/lib/fennelyard", "  heartbeat: 50ms", 11, "control.data-folder", "data folder"},
		{"relative data folder", "/var/lib/fennelyard", "state", 12, "control.data-folder", "absolute path"},
		{"host that is not listed", "host: one", "host: two", 2, "host", "not listed under hosts"},
		{"duplicate key", "host: one\n", "host: one\nhost: one\n", 3, "host", "duplicate key"},
		{"value out of range", "directory-keep: 5s", "directory-keep: 5ms", 14, "entry.directory-keep", "out of range"},
		{"no value", "deployment: trial", "deployment:", 1, "deployment", "no value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("bad.yaml", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
			var faults settings.Faults
			require.True(t, errors.As(err, &faults), "%v", err)
			// A faulty key may cause further faults.
			i := slices.IndexFunc(faults, func(f settings.Fault) bool { return f.Key() == c.key })
			require.GreaterOrEqual(t, i, 0, "%v", err)
			assert.Equal(t, c.line, faults[i].Line(), err)
			assert.Contains(t, faults[i].String(), c.message)
			assert.True(t, strings.HasPrefix(faults[i].String(), "bad.yaml:"))
		})
	}
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	invalid := strings.NewReplacer("control: true", "kontrol: true", "10.0.0.1:7001", "nowhere", "5s", "five").Replace(validSettings)
	_, err := settings.Parse("bad.yaml", []byte(invalid))
	var faults settings.Faults
	require.True(t, errors.As(err, &faults))
	assert.GreaterOrEqual(t, len(faults), 3)
	for i := 1; i < len(faults); i++ {
		assert.LessOrEqual(t, faults[i-1].Line(), faults[i].Line())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("hosts: [1, {a: b}]\n? x\n"))
	data, err := os.ReadFile("../../examples/kapiti/intent.yaml")
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Neither may panic on any input.
		_, _ = settings.Parse("fuzz.yaml", data)
		_, _ = settings.ParseIntent("fuzz.yaml", data)
	})
}

const validJoinSettings = `host: core-1
data-centre: a
ip: 10.0.0.1
peer-port: 7000
seeds: ["10.0.0.1:7001"]
data-folder: /var/lib/fennelyard
operator-address: 10.0.0.1:7001
`

// A host listens for other hosts on peer-listen-ip, by default on ip. A value that is not an
// IP address is a fault of that key.
func TestPeerListenIP(t *testing.T) {
	for addition, want := range map[string]string{"": "10.0.0.1", "peer-listen-ip: 10.9.0.1\n": "10.9.0.1"} {
		s, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+addition))
		require.NoError(t, err)
		require.Equal(t, want, s.GetPeerListenIp())
	}
	_, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+"peer-listen-ip: core-1\n"))
	require.ErrorContains(t, err, "core-1.yaml:8")
	require.ErrorContains(t, err, "peer-listen-ip")
}

// A platform may state every size, time and bound as a fraction. A host that reads one of them
// as a whole number does not start.
func TestFractionalBounds(t *testing.T) {
	for key, value := range map[string]string{
		"disk-mb": "6.7", "memory-mb": "160.5", "repeat-slack": "32.73684210526316", "repeat-ratio": "0.2",
		"announce-every": "1200.5ms", "stop-limit": "8.25s", "order-lease": "3000.0ms", "repeat-window": "10.5s",
		"load-window": "4.75s", "quota-window": "7.5s", "key-revocation": "1500.25ms",
	} {
		t.Run(key, func(t *testing.T) {
			_, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+key+": "+value+"\n"))
			require.NoError(t, err)
		})
	}
	s, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+"repeat-slack: 32.75\n"))
	require.NoError(t, err)
	require.InDelta(t, 32.75, s.GetRepeatSlack(), 0)
}

func TestQuantitiesOutOfRange(t *testing.T) {
	for _, key := range []string{"disk-mb", "memory-mb", "repeat-slack", "repeat-ratio"} {
		for _, value := range []string{"-0.5", "1e300", ".nan", "nan", "inf"} {
			_, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+key+": "+value+"\n"))
			require.ErrorContains(t, err, "core-1.yaml:8", "%s: %s", key, value)
			require.ErrorContains(t, err, key)
		}
	}
}

// A retry budget without slack or ratio was taken for one that is not set, and got the default.
func TestRetryBudgetOfZero(t *testing.T) {
	s, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+"repeat-slack: 0\nrepeat-ratio: 0\n"))
	require.NoError(t, err)
	require.Zero(t, s.GetRepeatSlack())
	require.Zero(t, s.GetRepeatRatio())
	s, err = settings.ParseJoin("core-1.yaml", []byte(validJoinSettings))
	require.NoError(t, err)
	require.InDelta(t, settings.DefaultRepeatSlack, s.GetRepeatSlack(), 0)
	require.InDelta(t, settings.DefaultRepeatRatio, s.GetRepeatRatio(), 0)
}

// The memory for bodies is a share of that of the process. A bound of zero, below it or beyond the process's memory
// would refuse every body, or none.
func TestMemoryForBodies(t *testing.T) {
	for addition, want := range map[string]float64{"": settings.DefaultBufferMB, "memory-mb: 160.5\n": 40.125, "memory-mb: 100\nbuffer-mb: 12.5\n": 12.5} {
		s, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+addition))
		require.NoError(t, err)
		require.InDelta(t, want, s.GetBufferMb(), 0)
	}
	for _, value := range []string{"0", "-1", "100", "1e300", ".nan"} {
		_, err := settings.ParseJoin("core-1.yaml", []byte(validJoinSettings+"buffer-mb: "+value+"\nmemory-mb: 100\n"))
		require.ErrorContains(t, err, "core-1.yaml:8", value)
		require.ErrorContains(t, err, "buffer-mb")
	}
	s, err := settings.Parse("good.yaml", []byte(validSettings))
	require.NoError(t, err)
	require.InDelta(t, settings.DefaultBufferMB, s.GetEntry().GetBufferMb(), 0)
	_, err = settings.Parse("bad.yaml", []byte(validSettings+"  buffer-mb: 0\n"))
	require.ErrorContains(t, err, "entry.buffer-mb")
}
