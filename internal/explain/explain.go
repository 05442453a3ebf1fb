// Package explain tells a job's story from the log lines of several VMs.
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

// Line is a log line that belongs to a story.
type Line struct {
	Time time.Time
	Node string
	// Text is the message with its fields.
	Text string
	// Context lines are not about the job itself, but about what it depended on.
	Context bool
}

const maxLine = 1 << 20 // bytes of one log line

var (
	timeField   = regexp.MustCompile(`(?:^|\s)ts=(\S+)`)
	nodeField   = regexp.MustCompile(`(?:^|\s)node=(\S+)`)
	serverField = regexp.MustCompile(`(?:^|\s)server=(\S+)`)
	noise       = regexp.MustCompile(`(?:^|\s)(?:ts|node|level)=\S+`)
)

// contextMessages begin lines that explain what happened to jobs in general.
var contextMessages = []string{
	`msg="term `, `msg="backend server `, `msg="leases ended`, `msg="the process was paused`, `msg="store `, `msg="configuration in force`,
	`msg="planned stop`, `msg=started`, `msg=stopped`,
}

// Timeline reads log lines and returns those about a job, in order of time, with the
// lines between them about the term, the store and the backend servers it used.
func Timeline(r io.Reader, id string) ([]Line, error) {
	var story, context []Line
	servers := make(map[string]bool)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		switch {
		case !ok:
		case strings.Contains(line.Text, id):
			story = append(story, line)
			if m := serverField.FindStringSubmatch(line.Text); m != nil {
				servers[m[1]] = true
			}
		case isContext(line.Text):
			line.Context = true
			context = append(context, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("log lines: %w", err)
	}
	return merge(story, context, servers), nil
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
	line.Text = strings.TrimSpace(noise.ReplaceAllString(text[m[0]:], ""))
	return line, true
}

func isContext(text string) bool {
	return slices.ContainsFunc(contextMessages, func(m string) bool { return strings.HasPrefix(text, m) })
}

// merge adds the context between the first and the last line of the story.
func merge(story, context []Line, servers map[string]bool) []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(story, byTime)
	if len(story) == 0 {
		return nil
	}
	first, last := story[0].Time, story[len(story)-1].Time
	for _, line := range context {
		m := serverField.FindStringSubmatch(line.Text)
		if line.Time.Before(first) || line.Time.After(last) || m != nil && !servers[m[1]] {
			continue
		}
		story = append(story, line)
	}
	slices.SortStableFunc(story, byTime)
	return story
}

// Print writes a story, each line with the time since its first.
func Print(w io.Writer, story []Line) error {
	for _, line := range story {
		mark := " "
		if line.Context {
			mark = "|"
		}
		if _, err := fmt.Fprintf(w, "%9.3fs %s %-18s %s\n", line.Time.Sub(story[0].Time).Seconds(), mark, line.Node, line.Text); err != nil {
			return err
		}
	}
	return nil
}
