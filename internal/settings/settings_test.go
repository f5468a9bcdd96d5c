package settings_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/settings"
)

func TestNameAndTLSAreSufficient(t *testing.T) {
	_, err := settings.Parse("f", []byte("name: n1\ntls: {insecure: true}\n"))
	assert.NilError(t, err)
}

func TestErrorsNameTheField(t *testing.T) {
	invalid := map[string]struct{ text, field string }{
		"unknown field":          {"name: n\nzones: a\n", "zones"},
		"missing name":           {"tls: {insecure: true}\n", "name"},
		"missing TLS":            {"name: n\n", "tls"},
		"incomplete TLS":         {"name: n\ntls: {authority: a}\n", "tls"},
		"TLS and insecure":       {"name: n\ntls: {insecure: true, authority: a}\n", "tls.insecure"},
		"invalid listen address": {"name: n\ntls: {insecure: true}\npeer: {listen: nowhere}\n", "peer.listen"},
		"invalid seed":           {"name: n\ntls: {insecure: true}\nseeds: [x]\n", "seeds[0]"},
		"invalid store URL":      {"name: n\ntls: {insecure: true}\nstore: {endpoint: x}\n", "store.endpoint"},
		"unknown log level":      {"name: n\ntls: {insecure: true}\nlogLevel: loud\n", "logLevel"},
		"no partitions":          {"name: n\ntls: {insecure: true}\npartitions: 0\n", "partitions"},
		"wrong type":             {"name: n\npartitions: many\n", "many"},
		"negative repair":        {"name: n\ntls: {insecure: true}\nrepairSeconds: -1\n", "repairSeconds"},
	}
	for name, test := range invalid {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(test.text))
			var settingsError *settings.Error
			assert.Assert(t, errors.As(err, &settingsError), "%v", err)
			assert.Equal(t, settingsError.Field, test.field)
		})
	}
}

// FuzzParse checks that arbitrary content either is valid or gives an *Error.
func FuzzParse(f *testing.F) {
	f.Add("name: n1\ntls: {insecure: true}\n")
	f.Add("peer: [\n")
	f.Add("routes: {a: {b: c}}")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := settings.Parse("fuzz", []byte(text))
		var settingsError *settings.Error
		if err != nil && !errors.As(err, &settingsError) {
			t.Fatalf("error is not a *settings.Error: %v", err)
		}
	})
}
