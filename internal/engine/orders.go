package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Order implements Loader.
func (o *OpenAI) Order(ctx context.Context, target Target, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encoding an order")
	}
	_, err = o.sendOrder(ctx, http.MethodPost, target, body)
	return err
}

// ModelState implements Loader.
func (o *OpenAI) ModelState(ctx context.Context, target Target) (ModelState, error) {
	return o.sendOrder(ctx, http.MethodGet, target, nil)
}

func decodeModelState(body io.Reader) (ModelState, error) {
	var state ModelState
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&state); err != nil {
		return ModelState{}, err
	}
	if state.Token > MaxToken {
		return ModelState{}, &errInvalidResponse{Detail: "token above the maximum: " + strconv.FormatUint(state.Token, 10)}
	}
	return state, nil
}

func (o *OpenAI) sendOrder(ctx context.Context, method string, target Target, body []byte) (ModelState, error) {
	request, err := http.NewRequestWithContext(ctx, method, target.URL+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return ModelState{}, errors.Wrap(err, "building an order request")
	}
	request.Header.Set("Content-Type", jsonMediaType)
	response, err := o.transport.RoundTrip(request)
	if err != nil {
		return ModelState{}, &ErrInterrupted{Cause: err}
	}
	defer drainAndClose(response.Body)
	if response.StatusCode >= http.StatusMultipleChoices && response.StatusCode != http.StatusConflict {
		return ModelState{}, &ErrStatus{Status: response.StatusCode}
	}
	state, err := decodeModelState(response.Body)
	if err != nil {
		return ModelState{}, &ErrInterrupted{Cause: err}
	}
	if response.StatusCode == http.StatusConflict {
		return state, &ErrFenced{State: state}
	}
	return state, nil
}
