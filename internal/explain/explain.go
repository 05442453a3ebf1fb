// Package explain extracts the timeline of a job from the log lines of several VMs.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Line is a log line of a timeline.
type Line struct {
	Time time.Time
	Node string
	// Text is the message with its fields.
	Text string
	// Context marks a line that is not about the job itself but about something that it
	// depended on.
	Context bool
}

const maxLine = 1 << 20 // bytes of one log line

var (
	timeField   = regexp.MustCompile(`(?:^|\s)ts=(\S+)`)
	nodeField   = regexp.MustCompile(`(?:^|\s)node=(\S+)`)
	serverField = regexp.MustCompile(`(?:^|\s)server=(\S+)`)
	// removedFields are left out of Line.Text; Print writes the time and the node separately.
	removedFields = regexp.MustCompile(`(?:^|\s)(?:ts|node|level)=\S+`)
)

// contextMessages are the message prefixes of lines that can explain what happened to a
// job without naming it.
var contextMessages = []string{
	`msg="term `, `msg="backend server `, `msg="leases ended`, `msg="the process was paused`, `msg="store `, `msg="configuration in force`,
	`msg="planned stop`, `msg=started`, `msg=stopped`,
}

// Timeline reads log lines and returns those that mention the job, ordered by time. Context
// lines logged between the first and the last of them are included; those about a
// backend server only if the job used it.
func Timeline(r io.Reader, id string) ([]Line, error) {
	var jobLines, contextLines []Line
	servers := make(map[string]bool)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		switch {
		case !ok:
		case strings.Contains(line.Text, id):
			jobLines = append(jobLines, line)
			if m := serverField.FindStringSubmatch(line.Text); m != nil {
				servers[m[1]] = true
			}
		case isContext(line.Text):
			line.Context = true
			contextLines = append(contextLines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return merge(jobLines, contextLines, servers), nil
}

func parse(text string) (Line, bool) {
	m := timeField.FindStringSubmatchIndex(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text[m[2]:m[3]])
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at}
	if n := nodeField.FindStringSubmatch(text); n != nil {
		line.Node = n[1]
	}
	line.Text = strings.TrimSpace(removedFields.ReplaceAllString(text[m[0]:], ""))
	return line, true
}

func isContext(text string) bool {
	return slices.ContainsFunc(contextMessages, func(m string) bool { return strings.HasPrefix(text, m) })
}

// merge adds the context lines between the first and the last line about the job. It
// drops those about backend servers that the job did not use.
func merge(jobLines, contextLines []Line, servers map[string]bool) []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(jobLines, byTime)
	if len(jobLines) == 0 {
		return nil
	}
	first, last := jobLines[0].Time, jobLines[len(jobLines)-1].Time
	for _, line := range contextLines {
		m := serverField.FindStringSubmatch(line.Text)
		if line.Time.Before(first) || line.Time.After(last) || m != nil && !servers[m[1]] {
			continue
		}
		jobLines = append(jobLines, line)
	}
	slices.SortStableFunc(jobLines, byTime)
	return jobLines
}

// Print writes a timeline, each line with the time since the first one.
func Print(w io.Writer, lines []Line) error {
	for _, line := range lines {
		mark := " "
		if line.Context {
			mark = "|"
		}
		if _, err := fmt.Fprintf(w, "%9.3fs %s %-18s %s\n", line.Time.Sub(lines[0].Time).Seconds(), mark, line.Node, line.Text); err != nil {
			return err
		}
	}
	return nil
}
