package config

import (
	"fmt"
	"strings"
)

// String returns the finding with its place on one line.
func (f Finding) String() string {
	var place strings.Builder
	if f.File != "" {
		fmt.Fprintf(&place, "%s: ", f.File)
	}
	if f.Record > 0 {
		fmt.Fprintf(&place, "record %d: ", f.Record)
	}
	if f.Field != "" {
		fmt.Fprintf(&place, "%s: ", f.Field)
	}
	return place.String() + f.Message
}

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when it is empty.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// InFile returns the findings with the file name set.
func (f Findings) InFile(name string) Findings {
	placed := make(Findings, 0, len(f))
	for _, finding := range f {
		finding.File = name
		placed = append(placed, finding)
	}
	return placed
}
