package control_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/control"
)

// All control hosts lose their disks and restart. If a host bootstrapped a new group
// then, callers would see an empty state without any notice that the old one is lost.
// Only the first seed bootstraps, and only while the whole deployment starts for the
// first time.
func TestWhichHostBootstrapsGroup(t *testing.T) {
	for name, tt := range map[string]struct {
		self      string
		bootstrap bool
		want      bool
	}{
		"first seed at the first start":   {"10.0.0.1:7", true, true},
		"another seed at the first start": {"10.0.0.2:7", true, false},
		"no seed":                         {"10.0.0.0:7", true, false},
		"first seed with a lost disk":     {"10.0.0.1:7", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, control.MayBootstrap(tt.self, tt.bootstrap, "10.0.0.2:7", "10.0.0.1:7", "10.0.0.3:7"))
		})
	}
}
