package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

func (a *app) statusCommand() *ffcli.Command {
	return a.clientCommand(clientSpec{
		name: "status",
		help: "Shows one VM's view of the system.",
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(0, "no arguments"); err != nil {
				return err
			}
			status, err := c.client.Status(ctx)
			if err != nil {
				return err
			}
			return c.print(status, func(w *tabwriter.Writer) { writeStatus(w, status) })
		},
	})
}

func writeStatus(w *tabwriter.Writer, s api.StatusReply) {
	if s.Partial != "" {
		writeRow(w, "PARTIAL VIEW", s.Partial)
	}
	writeRow(w, "VM", s.Incarnation, "zone", s.AZ, "ready", s.Ready, "draining", s.Draining)
	writeRow(w, "platform", platformText(s.Platform))
	writeRow(w, "config revision", s.ConfigRevision, "applied offset", s.Applied)
	if s.ConfigStalled != "" {
		writeRow(w, "CONFIG STALLED", s.ConfigStalled)
	}
	b := s.Backends
	writeRow(w, "backend servers", fmt.Sprintf("%d live, %d leaving, %d quarantined, %d lost",
		b.Live, b.Leaving, b.Quarantined, b.Lost))
	writeRow(w, "fragmentation", fmt.Sprintf("%.1f%%", s.Fragmentation*percent))
	writeRow(w, "invariant violations", s.Violations)
	for _, t := range s.Terms {
		writeRow(w, "term", t.AZ, t.Holder, t.Address, fmt.Sprintf("token %d.%d", t.Token.Offset, t.Token.Rank), textIf(t.HeldLocally, "mine"))
	}
	for _, p := range s.Peers {
		writeRow(w, "peer", p.Address, p.AZ, peerText(p), fmt.Sprintf("applied %d", p.Applied))
	}
	for _, q := range s.Queues {
		writeRow(w, "queue", q.Class, fmt.Sprintf("%d queued", q.Queued), fmt.Sprintf("%d running", q.Running))
	}
	for _, j := range s.Jobs {
		writeRow(w, "jobs", j.State, j.Count)
	}
	for _, g := range s.GuaranteesAtRisk {
		shape := g.Guarantee.Shape
		writeRow(w, "guarantee at risk", g.Organisation, g.Guarantee.AZ,
			fmt.Sprintf("%dx%d/%s", shape.Tasks, shape.Accelerators, shape.Adjacency),
			fmt.Sprintf("%d of %d honoured", g.Honoured, g.Guarantee.Count))
	}
}

const percent = 100

func platformText(p api.PlatformStatus) string {
	if p.Reachable {
		return "reachable for " + p.StateDuration
	}
	return "NOT reachable for " + p.StateDuration
}

func peerText(p control.PeerState) string {
	switch {
	case !p.Alive:
		return "not heard"
	case p.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}
