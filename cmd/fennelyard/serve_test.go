package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A new deployment of real processes: a refused intent, a plan and its confirmation, a cold
// and a warm completion, a booking that is sent twice and runs once, and a planned stop.
func TestNewDeploymentWithProcesses(t *testing.T) {
	clus := newCluster(t, 4, 3)
	clus.startEngine("engine-1")
	clus.startEngine("engine-2", "--checks-fencing=false", "--data-centre", "hall-b")
	clus.startApplication("booking-1")
	clus.awaitServers(3)

	bad := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("name: bad\ncustomer: {name: x}\nmodels:\n  - {name: m, version: \"1\", memory-mib: 1, max-replicas: 0}\n"), 0o600))
	code, _, errOut := runCommand("intent", "apply", "--address", clus.layout.Hosts()[0].Operator, "--file", bad, "--operator", "ann")
	assert.Equal(t, exitRefused, code)
	assert.Contains(t, errOut, "max-replicas 0")

	clus.configure(2)
	client := clus.client()
	require.NoError(t, clus.requestCompletion(client), "cold")
	require.NoError(t, clus.requestCompletion(client), "warm")
	for range 2 {
		runs, err := clus.requestBooking(t.Context(), client, "ride-1")
		require.NoError(t, err)
		assert.Equal(t, 1, runs)
	}
	code, out, _ := runCommand("status", "--address", clus.layout.Hosts()[3].Operator)
	assert.Equal(t, exitOK, code)
	assert.Contains(t, out, testModel)

	clus.sendSignal("host-4", syscall.SIGTERM)
	<-clus.processes["host-4"].done
	assert.Zero(t, clus.processes["host-4"].cmd.ProcessState.ExitCode())
	require.NoError(t, clus.requestCompletion(clus.client(0, 1, 2)))
}

func TestCommandHelpHasExamples(t *testing.T) {
	for _, args := range [][]string{
		{"serve"},
		{"check"},
		{"demo"},
		{"entries"},
		{"send"},
		{"intent", "apply"},
		{"intent", "list"},
		{"plan", "show"},
		{"plan", "confirm"},
		{"plan", "reject"},
		{"server", "forget"},
		{"status"},
		{"version"},
	} {
		code, out, _ := runCommand(append(args, "--help")...)
		assert.Equal(t, exitOK, code)
		assert.Contains(t, out, "Examples:", strings.Join(args, " "))
	}
}

// The demo returns an error when a step has another result than expected.
func TestDemoOfAHarmfulRequest(t *testing.T) {
	code, out, errOut := runCommand("demo", "--harmful")
	require.Equal(t, exitOK, code, out+errOut)
	require.Contains(t, out, "and releases it: no host holds it back any more")
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("hots: []\n"), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown flag", []string{"check", "--nothing"}, exitUsage, "unknown flag"},
		{"faulty settings", []string{"check", "--settings", bad}, exitSettings, "bad.yaml:1: hots: unknown key"},
		{"missing settings", []string{"check", "--settings", "/nowhere.yaml"}, exitFailed, "no such file"},
		{"neither model nor service", []string{"send", "--addresses", "127.0.0.1:1", "--customer", "x"}, exitUsage, "either"},
		{"bad output", []string{"status", "--address", "127.0.0.1:1", "-o", "xml"}, exitFailed, "reach 127.0.0.1:1"},
		{"example", []string{"check", "--settings", "../../examples/kapiti/otaki-1.yaml"}, exitOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, _, errOut := runCommand(c.args...)
			assert.Equal(t, c.code, code)
			assert.Contains(t, errOut, c.want)
		})
	}
}
