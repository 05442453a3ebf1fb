// Command review-standin-2 plays the platform, the backend servers and the clients of a small deployment on
// loopback for the cases of the second review. It starts the product's VMs as processes, writes what was sent,
// answered and run to a record, and judges one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the number of a case to its play. A play returns what broke the rule, empty if it held.
var cases = map[string]struct {
	options options
	play    func(d *deployment, trouble bool) (broken string, err error)
}{
	"cancelled":          {options{servers: 16}, playCancelled},
	"late-start":         {options{servers: 16}, playLateStart},
	"other-kind":         {options{servers: 16, labelled: 1}, playOtherKind},
	"overdue":            {options{servers: 16}, playOverdue},
	"dark-after-restart": {options{servers: 16}, playDarkAfterRestart},
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name: its number and its folder.
func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		return exitNotRun
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	r.note("case %s, trouble %v", os.Args[1], trouble)
	d, err := startDeployment(r, c.options)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		r.note("not run: %v", err)
		return exitNotRun
	}
	broken, err := c.play(d, trouble)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken != "":
		r.note("BROKEN: %s", broken)
		return exitBroken
	default:
		r.note("held")
		return exitHeld
	}
}
