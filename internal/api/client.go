package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Client calls the HTTP API of a VM.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the VM at server, an IP:port or a base URL.
func NewClient(server string) *Client {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	transport := otelhttp.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	return &Client{base: strings.TrimSuffix(server, "/"), http: &http.Client{Transport: transport}}
}

// Error returns the title and detail of the problem.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// do sends in as JSON and decodes the answer into out if its status is 200 or one of
// replyStatuses. The error for any other answer is a *Problem if the body is one.
func (c *Client) do(ctx context.Context, method, path string, in, out any, replyStatuses ...int) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	for _, status := range append(replyStatuses, http.StatusOK) {
		if resp.StatusCode == status {
			return json.Unmarshal(data, out)
		}
	}
	problem := &Problem{}
	if json.Unmarshal(data, problem) != nil || problem.Title == "" {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return problem
}

// PutConfig publishes a configuration change.
func (c *Client) PutConfig(ctx context.Context, in ConfigChangeRequest) (out ConfigChangeReply, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/config/changes", in, &out,
		http.StatusConflict, http.StatusUnprocessableEntity, http.StatusAccepted)
	return out, err
}

// ConfigChange returns the verdict on a configuration change. The error is a *Problem of
// type ProblemNotFound if the VM has not seen the change.
func (c *Client) ConfigChange(ctx context.Context, id string) (out ConfigChangeReply, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/config/changes/"+url.PathEscape(id), nil, &out)
	return out, err
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (out ConfigReply, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/config", nil, &out)
	return out, err
}

// ConfigHistory returns the latest decisions on configuration changes.
func (c *Client) ConfigHistory(ctx context.Context) (out ConfigHistoryReply, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/config/history", nil, &out)
	return out, err
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, in JobSubmitRequest) (out control.JobReceipt, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/jobs", in, &out, http.StatusAccepted)
	return out, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id model.JobID) (out control.JobStatus, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, &out)
	return out, err
}

// Jobs lists the jobs of an organisation, or all jobs for an empty ID.
func (c *Client) Jobs(ctx context.Context, org model.OrganisationID) (out JobListReply, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/jobs?organisation="+url.QueryEscape(string(org)), nil, &out)
	return out, err
}

// CancelJobs cancels jobs.
func (c *Client) CancelJobs(ctx context.Context, in JobCancelRequest) (out JobCancelReply, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/jobs/cancel", in, &out)
	return out, err
}

// Run runs a request and returns its outcome.
func (c *Client) Run(ctx context.Context, in RunRequest) (out OutcomeReply, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/requests", in, &out,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	return out, err
}

// Outcome returns the outcome of a request.
func (c *Client) Outcome(ctx context.Context, id model.RequestID, ticket string) (out OutcomeReply, err error) {
	path := "/v1/requests/" + url.PathEscape(string(id)) + "?ticket=" + url.QueryEscape(ticket)
	err = c.do(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// NewTicket returns a new ticket.
func (c *Client) NewTicket(ctx context.Context, in TicketRequest) (out TicketReply, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/tickets", in, &out)
	return out, err
}

// Status returns the VM's view of the system.
func (c *Client) Status(ctx context.Context) (out StatusReply, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// ProblemType returns the type of the *Problem that err wraps, or "" if there is none.
func ProblemType(err error) string {
	var p *Problem
	if errors.As(err, &p) {
		return p.Type
	}
	return ""
}
