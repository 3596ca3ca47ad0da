package settings

import (
	"fmt"
	"strings"
)

// Fault is an error at a line of a settings or intent file.
type Fault struct {
	file    string
	line    int
	key     string
	problem string
	remedy  string
}

// String returns the fault as FILE:LINE: KEY: PROBLEM; REMEDY.
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.problem)
	if f.remedy != "" {
		s += "; " + f.remedy
	}
	return s
}

// Line returns the line number of the fault, starting from 1.
func (f Fault) Line() int { return f.line }

// Key returns the path of the key, such as hosts[2].peer-address.
func (f Fault) Key() string { return f.key }

// Faults is an error that contains all faults of a file, ordered by line.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
