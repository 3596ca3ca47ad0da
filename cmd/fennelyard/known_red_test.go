package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testScript returns the path of the script that runs the tests of the project.
func testScript(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", "..", ".ci", "tests"))
	require.NoError(t, err)
	return path
}

// writeModule writes a Go module and returns its folder. Package one has two tests, package
// two has one, package crowded one of a crowd, and package simulated has two on simulated time. The tests named in failing
// fail. list is the content of KNOWN-RED.txt; if it is empty there is no such file.
func writeModule(t *testing.T, list string, failing ...string) string {
	t.Helper()
	folder := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(folder, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	body := func(name string) string {
		text := "func " + name + "(t *testing.T) { t.Log(\"ran\")"
		for _, f := range failing {
			if f == name {
				text += "; t.Fail()"
			}
		}
		return text + " }\n"
	}
	const head = "\n\nimport \"testing\"\n\n"
	write("go.mod", "module scratch\n\ngo 1.26\n")
	write("one/one_test.go", "package one"+head+body("TestFirst")+body("TestSecond"))
	write("two/two_test.go", "package two"+head+body("TestThird"))
	write("crowded/crowded_test.go", "package crowded"+head+body("TestCrowdsOfConnections"))
	write("simulated/simulated_test.go", "package simulated\n\nimport (\n\"testing\"\n\"testing/synctest\"\n)\n\n"+
		"var _ = synctest.Test\n\n"+body("TestFourth")+body("TestConfigurationsInForceUnderFaults"))
	if list != "" {
		write("KNOWN-RED.txt", list)
	}
	return folder
}

// The script tolerates the failures of tests that KNOWN-RED.txt lists. If it tolerated too
// many it would hide a new failure; if too few, a known failure would block every change.
func TestKnownFailuresAreTolerated(t *testing.T) {
	for name, test := range map[string]struct {
		list    string
		failing []string
		passes  bool
		output  string
	}{
		"nothing listed, nothing fails": {passes: true},
		"nothing listed, one fails":     {failing: []string{"TestSecond"}},
		"the listed one fails": {
			list: "./one TestSecond: seen, cause, issue\n", failing: []string{"TestSecond"}, passes: true,
			output: "./one TestSecond: seen, cause, issue",
		},
		"the listed one passes": {list: "./one TestSecond: seen\n", passes: true, output: "./one TestSecond: seen"},
		"one of a crowd fails":  {failing: []string{"TestCrowdsOfConnections"}},
		"one of a crowd is listed beside three others": {
			list: "./one TestFirst: a\n./one TestSecond: b\n./two TestThird: c\n./crowded TestCrowdsOfConnections: seen\n", failing: []string{"TestCrowdsOfConnections"},
			passes: true, output: "Connections: seen",
		},
		"another of the package fails": {list: "./one TestSecond: seen\n", failing: []string{"TestFirst"}},
		"one of another package fails": {list: "./one TestSecond: seen\n", failing: []string{"TestThird"}},
		"one on simulated time fails":  {failing: []string{"TestFourth"}},
		"the longest one fails":        {failing: []string{"TestConfigurationsInForceUnderFaults"}},
		"another beside a listed one of simulated time fails": {
			list: "./simulated TestFourth: seen\n", failing: []string{"TestConfigurationsInForceUnderFaults"},
		},
		"the listed one of simulated time fails": {
			list: "./simulated TestFourth: seen\n", failing: []string{"TestFourth"}, passes: true, output: "./simulated TestFourth: seen",
		},
		"the longest one is listed and fails": {
			list: "./simulated TestConfigurationsInForceUnderFaults: seen\n", passes: true, output: "UnderFaults: seen",
			failing: []string{"TestConfigurationsInForceUnderFaults"},
		},
		"listed under another package":      {list: "./two TestSecond: seen\n", failing: []string{"TestSecond"}},
		"a listed one does not exist":       {list: "./one TestGone: seen\n"},
		"more are listed than may be there": {list: strings.Repeat("./one TestFirst: seen\n", 4)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := exec.Command(testScript(t))
			c.Dir = writeModule(t, test.list, test.failing...)
			out, err := c.CombinedOutput()
			require.Equal(t, test.passes, err == nil, "%s", out)
			require.Contains(t, string(out), test.output)
		})
	}
}

// The race detector itself sometimes crashes the process when several threads run timers of
// one synctest bubble at once. So packages with simulated time run with the detector on one
// processor, and without it on all processors, so that no order of events is tested less.
func TestSimulatedTimeRunsOnOneProcessorUnderTheDetector(t *testing.T) {
	folder := writeModule(t, "")
	runs := filepath.Join(folder, "runs")
	write := func(file, tag, name string) {
		text := "//go:build " + tag + "\n\npackage simulated\n\nimport (\n\"fmt\"\n\"os\"\n\"runtime\"\n\"testing\"\n)\n\n" +
			"func TestProcessors(t *testing.T) {\n" +
			"f, err := os.OpenFile(\"" + runs + "\", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)\n" +
			"if err != nil { t.Fatal(err) }\n" +
			"fmt.Fprintln(f, \"" + name + "\", runtime.GOMAXPROCS(0) == 1)\n" +
			"if err := f.Close(); err != nil { t.Fatal(err) }\n}\n"
		require.NoError(t, os.WriteFile(filepath.Join(folder, "simulated", file), []byte(text), 0o600))
	}
	write("race_test.go", "race", "detector")
	write("plain_test.go", "!race", "plain")
	c := exec.Command(testScript(t))
	c.Dir, c.Env = folder, append(os.Environ(), "GOMAXPROCS=2")
	out, err := c.CombinedOutput()
	require.NoError(t, err, "%s", out)
	got, err := os.ReadFile(runs)
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"detector true", "plain false"}, strings.Split(strings.TrimSpace(string(got)), "\n"))
}
