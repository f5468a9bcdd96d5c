// Package adminclient is a client of the administration API that package admin serves.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/admin"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/responsecheck"
	"github.com/mountstile/mountstile/internal/scheduler"
)

const (
	requestTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
	pollInterval     = 200 * time.Millisecond
)

// Client sends requests to one node.
type Client struct {
	endpoint string
	key      string
	client   *http.Client
}

// New returns a Client for the administration endpoint of a node, such as http://127.0.0.1:7490.
func New(endpoint, key string) *Client {
	client := &http.Client{Timeout: requestTimeout, Transport: responsecheck.NewTransport(http.DefaultTransport)}
	return &Client{endpoint: endpoint, key: key, client: client}
}

type errorBody struct {
	Error *apierr.Error `json:"error"`
}

// call sends a request and decodes the response. Failed requests and error responses are *apierr.Error.
func call[Response any](ctx context.Context, c *Client, method, path string, body []byte, header http.Header) (Response, error) {
	var result Response
	request, err := http.NewRequestWithContext(ctx, method, c.endpoint+admin.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return result, errors.Wrap(err, "building the request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return result, apierr.New(apierr.PeerUnreachable, apierr.OutcomeUnknown, "%s", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, apierr.New(apierr.PeerUnreachable, apierr.OutcomeUnknown, "reading the node's response: %s", err)
	}
	if response.StatusCode != http.StatusOK {
		var failure errorBody
		if json.Unmarshal(content, &failure) == nil && failure.Error != nil {
			return result, failure.Error
		}
		return result, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "the node responded with status %d: %s", response.StatusCode, bytes.TrimSpace(content))
	}
	return result, errors.Wrap(json.Unmarshal(content, &result), "decoding the response")
}

// Change identifies a change, so that it can be retried safely, and names the revision that it is based on. If ID is
// empty, the node chooses one; if Base is 0, it does not check for conflicts.
type Change struct {
	ID   string
	Base uint64
}

func (c Change) header() http.Header {
	header := make(http.Header)
	if c.ID != "" {
		header.Set(admin.HeaderChangeID, c.ID)
	}
	if c.Base > 0 {
		header.Set(admin.HeaderBaseRevision, strconv.FormatUint(c.Base, 10))
	}
	return header
}

// Status returns the status of the cluster's members.
func (c *Client) Status(ctx context.Context) (admin.ClusterStatus, error) {
	return call[admin.ClusterStatus](ctx, c, http.MethodGet, "/status", nil, nil)
}

// Models returns the engines of pools that load models, with their models.
func (c *Client) Models(ctx context.Context) (admin.ModelList, error) {
	return call[admin.ModelList](ctx, c, http.MethodGet, "/models", nil, nil)
}

// Partitions returns the placement of the partitions.
func (c *Client) Partitions(ctx context.Context) (admin.PartitionList, error) {
	return call[admin.PartitionList](ctx, c, http.MethodGet, "/partitions", nil, nil)
}

// Apply publishes resources written as YAML.
func (c *Client) Apply(ctx context.Context, yaml []byte, change Change) (admin.ApplyResult, error) {
	return call[admin.ApplyResult](ctx, c, http.MethodPost, "/apply", yaml, change.header())
}

// Diff compares resources written as YAML with those in force.
func (c *Client) Diff(ctx context.Context, yaml []byte) (admin.DiffResult, error) {
	return call[admin.DiffResult](ctx, c, http.MethodPost, "/diff", yaml, nil)
}

// List returns the resources of a kind; an empty kind means all.
func (c *Client) List(ctx context.Context, kind string) (admin.ResourceList, error) {
	return call[admin.ResourceList](ctx, c, http.MethodGet, "/resources?kind="+url.QueryEscape(kind), nil, nil)
}

func resourcePath(key resource.Key) string {
	return "/resources/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, key resource.Key) (resource.Resource, error) {
	return call[resource.Resource](ctx, c, http.MethodGet, resourcePath(key), nil, nil)
}

// Delete removes one resource.
func (c *Client) Delete(ctx context.Context, key resource.Key, change Change) (admin.ApplyResult, error) {
	return call[admin.ApplyResult](ctx, c, http.MethodDelete, resourcePath(key), nil, change.header())
}

// History returns the latest revisions, newest first.
func (c *Client) History(ctx context.Context, count int) (admin.HistoryList, error) {
	return call[admin.HistoryList](ctx, c, http.MethodGet, "/history?count="+strconv.Itoa(count), nil, nil)
}

// Restore publishes the resources of an earlier revision as a new revision.
func (c *Client) Restore(ctx context.Context, revision uint64) (admin.ApplyResult, error) {
	return call[admin.ApplyResult](ctx, c, http.MethodPost, "/history/"+strconv.FormatUint(revision, 10)+"/restore", nil, nil)
}

// DrainNode requests the planned stop of a node, given by ID or name.
func (c *Client) DrainNode(ctx context.Context, node string) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/drain/nodes/"+url.PathEscape(node), nil, nil)
	return err
}

// DrainEngine stops sending new calls to an engine, or resumes with undo.
func (c *Client) DrainEngine(ctx context.Context, pool, engine string, undo bool) (admin.ApplyResult, error) {
	path := "/drain/pools/" + url.PathEscape(pool) + "/engines/" + url.PathEscape(engine) + "?undo=" + strconv.FormatBool(undo)
	return call[admin.ApplyResult](ctx, c, http.MethodPost, path, nil, nil)
}

// Programs lists the programs of a tenant; an empty tenant means all.
func (c *Client) Programs(ctx context.Context, tenant string) (admin.ProgramList, error) {
	return call[admin.ProgramList](ctx, c, http.MethodGet, "/programs?tenant="+url.QueryEscape(tenant), nil, nil)
}

// Decision returns the scheduling decision for a call.
func (c *Client) Decision(ctx context.Context, callID string) (scheduler.Decision, error) {
	return call[scheduler.Decision](ctx, c, http.MethodGet, "/decisions/"+url.PathEscape(callID), nil, nil)
}

// ErrLagging lists the nodes on which a revision did not come into force in time.
type ErrLagging struct {
	Revision uint64
	Nodes    []string
}

// Error implements error.
func (e *ErrLagging) Error() string {
	return "revision " + strconv.FormatUint(e.Revision, 10) + " is not in force on " + strconv.Itoa(len(e.Nodes)) + " nodes yet"
}

// WaitInForce waits until a revision is in force on all live nodes. If ctx is done first, it returns an
// *ErrLagging with the nodes on which it is not.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lagging := []string{"(no status yet)"}
	for {
		if status, err := c.Status(ctx); err == nil {
			if lagging = status.NodesBehind(revision); len(lagging) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &ErrLagging{Revision: revision, Nodes: lagging}
		case <-ticker.C:
		}
	}
}
