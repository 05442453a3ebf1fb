package vm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
)

// drain stops the VM gracefully: not ready for the balancer first, then no more
// admission, then every request finished or handed over while the term is handed over.
// A non-nil error means that the bound ran out.
func (n *node) drain(ctx context.Context, s settings.Serve) error {
	n.draining.Store(true)
	n.logger.Info("draining", zap.Duration("notice", s.DrainNotice), zap.Duration("timeout", s.DrainTimeout))
	time.Sleep(s.DrainNotice)

	ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
	defer cancel()
	n.gate.Close()
	term := make(chan error, 1)
	go func() { term <- n.control.Drain(ctx) }()
	return errors.Join(
		wrap("requests", n.dispatch.Drain(ctx)),
		wrap("commands in progress", n.gate.Wait(ctx)),
		wrap("term", <-term),
		wrap("appends", n.publisher.Flush(ctx)),
	)
}

func wrap(what string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("drain %s: %w", what, err)
}
