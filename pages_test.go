package fennelyard_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
	testName     = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// packagedTest is a test that a page names with its package.
	packagedTest = regexp.MustCompile("`([a-z]+): ((?:Test|Fuzz|Benchmark)[A-Z]\\w*)`")
)

// testFunctions returns the folders whose tests contain each test function.
func testFunctions(t *testing.T) map[string][]string {
	out := map[string][]string{}
	require.NoError(t, filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range testFunction.FindAllStringSubmatch(string(text), -1) {
			out[match[1]] = append(out[match[1]], packageOf(path))
		}
		return err
	}))
	return out
}

// packageOf returns the package of a file; folders are named after their packages.
func packageOf(path string) string {
	if folder := filepath.Dir(path); folder != "." {
		return filepath.Base(folder)
	}
	return "fennelyard"
}

// Pages that prove something by a test name one that exists, in the package that they name.
func TestPagesNameExistingTests(t *testing.T) {
	tests := testFunctions(t)
	require.NoError(t, filepath.WalkDir("docs", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, name := range testName.FindAllString(string(text), -1) {
			require.Contains(t, tests, name, path)
		}
		for _, match := range packagedTest.FindAllStringSubmatch(string(text), -1) {
			assert.Contains(t, tests[match[2]], match[1], "%s: %s", path, match[2])
		}
		return err
	}))
}
