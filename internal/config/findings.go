package config

import (
	"fmt"
	"strings"
)

// String returns the finding with its position on one line.
func (f Finding) String() string {
	var prefix strings.Builder
	if f.File != "" {
		fmt.Fprintf(&prefix, "%s: ", f.File)
	}
	if f.Record > 0 {
		fmt.Fprintf(&prefix, "record %d: ", f.Record)
	}
	if f.Field != "" {
		fmt.Fprintf(&prefix, "%s: ", f.Field)
	}
	return prefix.String() + f.Message
}

// Error returns the findings, one per line.
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

// InFile returns a copy of the findings with the file name set.
func (f Findings) InFile(name string) Findings {
	named := make(Findings, 0, len(f))
	for _, finding := range f {
		finding.File = name
		named = append(named, finding)
	}
	return named
}
