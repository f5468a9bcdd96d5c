package events_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
)

func TestCatalogueIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), events.Markdown(), "run: go run ./cmd/mountstile-lab events > docs/EVENTS.md")
}

func TestNumbersAscendAndNamesAreUnique(t *testing.T) {
	last := events.ID(0)
	names := make(map[string]bool)
	for _, event := range events.Catalogue {
		assert.Assert(t, event.ID > last, "%d", event.ID)
		assert.Assert(t, !names[event.Name], event.Name)
		last, names[event.Name] = event.ID, true
	}
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	var output bytes.Buffer
	events.NewLogger(&output, logrus.InfoLevel, "n1").Emit(events.NodeReady, events.F("revision", 7))
	var line struct {
		Event    int    `json:"event"`
		Name     string `json:"name"`
		Node     string `json:"node"`
		Revision int    `json:"revision"`
	}
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line.Event, int(events.NodeReady))
	assert.Equal(t, line.Node, "n1")
	assert.Equal(t, line.Revision, 7)
}
