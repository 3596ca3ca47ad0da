package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in a file.
type Fault struct {
	file  string
	line  int
	key   string
	wrong string
	right string
}

// String returns FILE:LINE: KEY: what is wrong; what would be right.
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.wrong)
	if f.right != "" {
		s += "; " + f.right
	}
	return s
}

// Line returns the line of the fault, counted from 1.
func (f Fault) Line() int { return f.line }

// Key returns the path of the key, such as hosts[2].peer-address.
func (f Fault) Key() string { return f.key }

// Faults is the error that holds every fault of a file, in the order of lines.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
