package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
)

// serve serves HTTP on an address until ctx ends, then closes all connections. Once it is
// listening, it calls onListening with the actual address.
func serve(ctx context.Context, address string, h http.Handler, onListening func(address string) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := onListening(listener.Addr().String()); err != nil {
		_ = listener.Close()
		return err
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// writePortFile writes the address to a file atomically, so that a reader never sees part
// of it. It does nothing if path is empty.
func writePortFile(path, address string) error {
	if path == "" {
		return nil
	}
	temp := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(temp, []byte(address+"\n"), 0o644); err != nil {
		return fmt.Errorf("write port file: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("write port file: %w", err)
	}
	return nil
}

// logListening logs that the stand-in accepts connections.
func logListening(role, address string) {
	fmt.Fprintf(os.Stderr, "event=listening role=%s address=%s\n", role, address)
}
