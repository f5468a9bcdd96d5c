// Package etcdgateway implements configstore.Store with the etcd v3 JSON gateway
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/). In its JSON, keys and values are base64 and
// 64-bit numbers are strings.
package etcdgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/responsecheck"
)

// Paths of the gateway.
const (
	RangePath = "/v3/kv/range"
	TxnPath   = "/v3/kv/txn"
	WatchPath = "/v3/watch"
)

const (
	maxResponseBytes = 32 << 20
	// idleTimeout is how long an idle connection stays open. Most nodes read the store only until they have joined their peers.
	idleTimeout = 10 * time.Second
)

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// ResponseHeader is part of every response and carries the store's revision.
type ResponseHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeRequest reads a key, or all keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	KVs    []KeyValue     `json:"kvs,omitempty"`
	Count  int64          `json:"count,string,omitempty"`
}

// Compare is one condition of a transaction; only target MOD with result EQUAL is used.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// RequestOperation is one operation of a transaction.
type RequestOperation struct {
	Put   *PutRequest   `json:"request_put,omitempty"`
	Range *RangeRequest `json:"request_range,omitempty"`
}

// TxnRequest runs the operations of Success if all comparisons hold, and those of Failure otherwise.
type TxnRequest struct {
	Compare []Compare          `json:"compare"`
	Success []RequestOperation `json:"success"`
	Failure []RequestOperation `json:"failure,omitempty"`
}

// ResponseOperation is the result of one operation; only that of a range is decoded.
type ResponseOperation struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader      `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []ResponseOperation `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the watched key and the revision to start at.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one line of a watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult carries events or, with Canceled set, ends the watch.
type WatchResult struct {
	Header          ResponseHeader `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent   `json:"events,omitempty"`
}

// WatchEvent is a change of a key. Type is empty for PUT because the gateway omits zero values.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// statusError is a response with an HTTP status other than 200.
type statusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.Status) + ": " + e.Body }

// watchCanceledError means that the store canceled a watch.
type watchCanceledError struct{ CompactRevision int64 }

// Error implements error.
func (e *watchCanceledError) Error() string { return "the store canceled the watch" }

// Client implements configstore.Store.
type Client struct {
	endpoint string
	client   *http.Client
	timeout  time.Duration
}

// New returns a Client for the gateway at endpoint, such as http://127.0.0.1:2379.
func New(endpoint string, timeout time.Duration) *Client {
	transport := responsecheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout})
	return &Client{endpoint: endpoint, client: &http.Client{Transport: transport}, timeout: timeout}
}

// Get implements configstore.Store.
func (c *Client) Get(ctx context.Context, key string) (configstore.Entry, error) {
	var response RangeResponse
	if err := c.post(ctx, RangePath, RangeRequest{Key: []byte(key)}, &response); err != nil {
		return configstore.Entry{}, err
	}
	return firstEntry(response.KVs), nil
}

func firstEntry(pairs []KeyValue) configstore.Entry {
	if len(pairs) == 0 {
		return configstore.Entry{}
	}
	return configstore.Entry{Value: pairs[0].Value, Revision: pairs[0].ModRevision}
}

// CompareAndSwap implements configstore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, writes []configstore.Write) error {
	request := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}},
		Failure: []RequestOperation{{Range: &RangeRequest{Key: []byte(key)}}},
	}
	for _, write := range writes {
		request.Success = append(request.Success, RequestOperation{Put: &PutRequest{Key: []byte(write.Key), Value: write.Value}})
	}
	var response TxnResponse
	if err := c.post(ctx, TxnPath, request, &response); err != nil {
		return err
	}
	if response.Succeeded {
		return nil
	}
	conflict := &configstore.ErrConflict{Key: key}
	if len(response.Responses) > 0 && response.Responses[0].Range != nil {
		conflict.Actual = firstEntry(response.Responses[0].Range.KVs)
	}
	return conflict
}

// Watch implements configstore.Store.
func (c *Client) Watch(ctx context.Context, key string, deliver func(configstore.Event)) error {
	response, err := c.send(ctx, WatchPath, WatchRequest{Create: WatchCreate{Key: []byte(key)}})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return &configstore.ErrUnavailable{Operation: "watch", Cause: err}
		}
		if message.Result.Canceled {
			deliver(configstore.Event{Lost: true})
			return &configstore.ErrUnavailable{Operation: "watch", Cause: &watchCanceledError{message.Result.CompactRevision}}
		}
		for _, event := range message.Result.Events {
			deliver(configstore.Event{Entry: configstore.Entry{Value: event.KV.Value, Revision: event.KV.ModRevision}})
		}
	}
}

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	httpResponse, err := c.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes)).Decode(response); err != nil {
		return &configstore.ErrUnavailable{Operation: path, Cause: errors.Wrap(err, "decoding the response")}
	}
	return nil
}

func (c *Client) send(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	// Without GetBody, net/http can't replay the request when a reused connection breaks.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return nil, &configstore.ErrUnavailable{Operation: path, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		_ = response.Body.Close()
		return nil, &configstore.ErrUnavailable{
			Operation:   path,
			Cause:       &statusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(text))},
			RateLimited: response.StatusCode == http.StatusTooManyRequests,
		}
	}
	return response, nil
}
