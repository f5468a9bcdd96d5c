package startup_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/startup"
)

func TestRetryReportsEachChangeOfTheFailure(t *testing.T) {
	failures := []error{errors.New("a"), errors.New("a"), errors.New("b"), nil}
	var reported []string
	err := startup.Retry(t.Context(), func() error {
		failure := failures[0]
		failures = failures[1:]
		return failure
	}, func(err error) { reported = append(reported, err.Error()) })
	assert.NilError(t, err)
	assert.DeepEqual(t, reported, []string{"a", "b"})
}

func TestRetryEndsWithTheContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	err := startup.Retry(ctx, func() error {
		stop()
		return errors.New("a")
	}, func(error) {})
	assert.ErrorIs(t, err, context.Canceled)
}
