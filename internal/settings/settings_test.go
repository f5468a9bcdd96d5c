package settings_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/settings"
)

func TestDefaultsNeedOnlyANameAndKeys(t *testing.T) {
	_, err := settings.Parse("f", []byte("name: n1\ntls: {insecure: true}\n"))
	assert.NilError(t, err)
}

func TestMistakesNameTheField(t *testing.T) {
	mistakes := map[string]struct{ text, field string }{
		"unknown":         {"name: n\nzones: a\n", "zones"},
		"no name":         {"tls: {insecure: true}\n", "name"},
		"no TLS":          {"name: n\n", "tls"},
		"half TLS":        {"name: n\ntls: {authority: a}\n", "tls"},
		"both":            {"name: n\ntls: {insecure: true, authority: a}\n", "tls.insecure"},
		"address":         {"name: n\ntls: {insecure: true}\npeer: {listen: nowhere}\n", "peer.listen"},
		"seed":            {"name: n\ntls: {insecure: true}\nseeds: [x]\n", "seeds[0]"},
		"store":           {"name: n\ntls: {insecure: true}\nstore: {endpoint: x}\n", "store.endpoint"},
		"level":           {"name: n\ntls: {insecure: true}\nlogLevel: loud\n", "logLevel"},
		"partitions":      {"name: n\ntls: {insecure: true}\npartitions: 0\n", "partitions"},
		"wrong type":      {"name: n\npartitions: many\n", "many"},
		"negative repair": {"name: n\ntls: {insecure: true}\nrepairSeconds: -1\n", "repairSeconds"},
	}
	for name, mistake := range mistakes {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(mistake.text))
			var problem *settings.Error
			assert.Assert(t, errors.As(err, &problem), "%v", err)
			assert.Equal(t, problem.Field, mistake.field)
		})
	}
}

// FuzzParse: any content gives settings that pass the checks, or a typed error.
func FuzzParse(f *testing.F) {
	f.Add("name: n1\ntls: {insecure: true}\n")
	f.Add("peer: [\n")
	f.Add("routes: {a: {b: c}}")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := settings.Parse("fuzz", []byte(text))
		var problem *settings.Error
		if err != nil && !errors.As(err, &problem) {
			t.Fatalf("an error without a type: %v", err)
		}
	})
}
