package ports

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// platformConnections bounds the connections of one VM to the platform.
const platformConnections = 8

var (
	_ Log    = (*LogClient)(nil)
	_ VMList = (*VMListClient)(nil)
)

// LogClient reads and appends to the platform's log over HTTP.
type LogClient struct {
	url    string
	client *http.Client
}

// NewLogClient returns a client of the log at baseURL, such as "http://127.0.0.1:80".
// If c is nil, a new client of NewHTTPClient is used. With any other client it is not known
// whether a failed call was sent, and all such calls are reported as in doubt.
func NewLogClient(baseURL string, c *http.Client) *LogClient {
	return &LogClient{url: joinURL(baseURL, PathLog), client: clientOrDefault(c)}
}

// Append stores data as one record and returns its offset.
func (l *LogClient) Append(ctx context.Context, data []byte) (int64, error) {
	c := call{method: http.MethodPost, url: l.url, contentType: "application/octet-stream", body: data}
	var reply AppendReply
	if err := c.send(ctx, l.client, &reply); err != nil {
		return 0, err
	}
	if reply.Offset < 1 {
		return 0, c.wrapError(ErrInDoubt, fmt.Errorf("invalid offset %d in the log's answer", reply.Offset))
	}
	return reply.Offset, nil
}

// Read returns up to limit records, starting at offset from, and waits up to wait for
// the first one.
func (l *LogClient) Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set(ParamFrom, strconv.FormatInt(from, 10))
	query.Set(ParamLimit, strconv.Itoa(limit))
	query.Set(ParamWaitMS, strconv.FormatInt(wait.Milliseconds(), 10))
	c := call{method: http.MethodGet, url: l.url + "?" + query.Encode(), readOnly: true}
	var batch Batch
	if err := c.send(ctx, l.client, &batch); err != nil {
		return Batch{}, err
	}
	if err := checkOrder(batch, from); err != nil {
		return Batch{}, c.wrapError(ErrUnavailable, err)
	}
	return batch, nil
}

// checkOrder returns an error unless the records have consecutive offsets starting at from.
func checkOrder(b Batch, from int64) error {
	for i, r := range b.Records {
		if want := from + int64(i); r.Offset != want {
			return fmt.Errorf("record %d has offset %d, not %d", i, r.Offset, want)
		}
	}
	if b.Next < from+int64(len(b.Records)) && len(b.Records) > 0 {
		return errors.New("the next offset is older than the records")
	}
	return nil
}

// VMListClient reads the platform's VM list over HTTP.
type VMListClient struct {
	url    string
	client *http.Client
}

// NewVMListClient returns a client of the VM list at baseURL. If c is nil, a new client
// of NewHTTPClient is used.
func NewVMListClient(baseURL string, c *http.Client) *VMListClient {
	return &VMListClient{url: joinURL(baseURL, PathVMs), client: clientOrDefault(c)}
}

// List returns the VM list. An error wraps ErrUnavailable.
func (l *VMListClient) List(ctx context.Context) ([]VMEntry, error) {
	c := call{method: http.MethodGet, url: l.url, readOnly: true}
	var reply VMListReply
	if err := c.send(ctx, l.client, &reply); err != nil {
		return nil, err
	}
	return reply.VMs, nil
}

func clientOrDefault(c *http.Client) *http.Client {
	if c != nil {
		return c
	}
	return NewHTTPClient(platformConnections, false)
}

func joinURL(baseURL, path string) string {
	return strings.TrimSuffix(baseURL, "/") + path
}
