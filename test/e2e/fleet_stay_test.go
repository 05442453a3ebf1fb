package e2e

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

const (
	// revokeBound is the revokeMs of a Deployment.
	revokeBound = 5 * time.Second
	// configBound is how long after the last change and disruption each VM has the newest configuration in force:
	// contactMs and configApplyMs.
	configBound = 5500 * time.Millisecond
	// splitShare of the requests of a client that stays at its VM are submissions whose body comes in two parts.
	splitShare = 50
	splitRunMs = 500
	// lookEvery is the time between two looks at what changes by itself.
	lookEvery = 20 * time.Millisecond
)

// stay has a client at each VM that uses one connection until the VM closes it, then the next one at the same VM, without
// regard to signals: until the process is gone, and again from its next start on.
func (f *fleetRun) stay(ctx context.Context, seed uint64) *sync.WaitGroup {
	var all sync.WaitGroup
	for i, v := range f.vms {
		rng := rand.New(rand.NewPCG(seed, 70+uint64(i)))
		all.Go(func() {
			for ctx.Err() == nil {
				connection, err := net.DialTimeout("tcp", v.Front, probeTimeout)
				if err != nil {
					time.Sleep(between(rng, 5, 50))
					continue
				}
				f.useUntilClosed(ctx, v, connection, rng)
				_ = connection.Close()
			}
		})
	}
	return &all
}

// useUntilClosed sends request after request over a connection, half of them with a key that only the configuration
// of its beginning holds.
func (f *fleetRun) useUntilClosed(ctx context.Context, v *fleetVM, connection net.Conn, rng *rand.Rand) {
	answers := bufio.NewReader(connection)
	extra, _ := f.Extras()
	for ctx.Err() == nil {
		key, method, path, body := prepared.Key, http.MethodGet, "/"+prepared.Queues[0]+"/", []byte(nil)
		var j *clientJob
		switch {
		case rng.IntN(splitShare) == 0:
			j, body = request{queue: prepared.Queues[0], tasks: 1, runMs: splitRunMs}.job(rng)
			method, path = http.MethodPost, "/"+j.queue+"/"+j.id
		case rng.IntN(2) == 0:
			key = extra.Key
		}
		revoked := f.revoked(key)
		head := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", method, path, prepared.Host, key, len(body))
		_ = connection.SetDeadline(time.Now().Add(fleetCallTimeout))
		_, err := connection.Write(append(head, body[:len(body)/2]...))
		if j != nil && err == nil {
			time.Sleep(between(rng, 1, 1500))
			_, err = connection.Write(body[len(body)/2:])
		}
		sent := time.Now()
		status, last := 0, true
		if err == nil {
			status, last, err = readAnswer(answers, method)
		}
		if j != nil {
			j.accepted, j.acceptedAt, j.doubt = status == http.StatusOK, time.Now(), status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
			f.mu.Lock()
			f.jobs = append(f.jobs, j)
			f.mu.Unlock()
		}
		if status == http.StatusOK && revoked {
			f.t.Errorf("%s answered a call with a key that had been revoked for over %v when it was sent at %s", v.Node, revokeBound, sent.UTC().Format("15:04:05.000"))
		}
		if took := time.Since(sent); err != nil && took > lossSlack && !errors.Is(err, os.ErrDeadlineExceeded) {
			f.mu.Lock()
			f.unended = append(f.unended, fmt.Sprintf("%s %s on a used connection to %s, sent at %s: no answer after %v: %v", method, path, v.Node,
				sent.UTC().Format("15:04:05.000"), took, err))
			f.mu.Unlock()
		}
		if last {
			return
		}
		time.Sleep(between(rng, 1, 150))
	}
}

// readAnswer reads an answer and returns its status, and whether the connection is not to be used again.
func readAnswer(answers *bufio.Reader, method string) (status int, last bool, err error) {
	resp, err := http.ReadResponse(answers, &http.Request{Method: method})
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// revoked reports whether a key was taken away so long ago that no VM may honour it.
func (f *fleetRun) revoked(key string) bool {
	_, dropped := f.Extras()
	for _, e := range dropped {
		if e.Key == key {
			return time.Since(e.DroppedAt) > revokeBound
		}
	}
	return false
}

// checkConfiguration checks that each VM has the newest configuration in force, in time after the disruptions, and calls the store
// where its settings say. VMs without the store are no sign by themselves: others answer for them.
func (f *fleetRun) checkConfiguration(calm time.Time) {
	f.t.Helper()
	time.Sleep(time.Until(calm.Add(configBound)))
	present, dropped := f.Extras()
	old := dropped[len(dropped)-1]
	var calls []int64
	for _, v := range f.vms {
		calls = append(calls, v.StoreCalls())
	}
	since := time.Now()
	for i, v := range f.vms {
		for v.StoreCalls() == calls[i] && time.Since(since) < configBound {
			time.Sleep(lookEvery)
		}
		if v.StoreCalls() == calls[i] {
			f.t.Errorf("%s has not called the store at its present address for %v", v.Node, configBound)
		}
		for _, ask := range []struct {
			queue, key string
			want       int
		}{
			{prepared.Queues[0], prepared.Key, http.StatusOK},
			{prepared.Queues[0], present.Key, http.StatusOK},
			{present.Queue, prepared.Key, http.StatusOK},
			{prepared.Queues[0], old.Key, http.StatusUnauthorized},
			{old.Queue, prepared.Key, http.StatusNotFound},
		} {
			request, err := http.NewRequest(http.MethodGet, "http://"+v.Front+"/"+ask.queue+"/", bytes.NewReader(nil))
			if err != nil {
				f.t.Fatal(err)
			}
			request.Host = prepared.Host
			request.Header.Set("Authorization", "Bearer "+ask.key)
			client := http.Client{Timeout: fleetCallTimeout}
			resp, err := client.Do(request)
			if err != nil {
				f.t.Errorf("%s does not answer on /%s/: %v", v.Node, ask.queue, err)
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode != ask.want {
				f.t.Errorf("%s answers %d on /%s/ with key %s, not %d, %v after the last change of the configuration", v.Node, resp.StatusCode, ask.queue, ask.key,
					ask.want, time.Since(old.DroppedAt))
			}
		}
	}
}

// moveStore lets a VM reach the store at another address, which its settings name, with or without a signal. The previous
// address is gone some time later.
func (f *fleetRun) moveStore(v *fleetVM, rng *rand.Rand) {
	closePrevious, err := f.MoveStore(v.VM)
	if err != nil {
		f.t.Error(err)
		return
	}
	time.Sleep(between(rng, 0, 500))
	if rng.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
	time.Sleep(between(rng, 2500, 4000))
	closePrevious()
}
