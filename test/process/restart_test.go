package process_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/settings"
)

// After all nodes have ended and one of them doesn't return, the others must serve what they have acknowledged.
func TestFullRestartWithOneNodeLostServes(t *testing.T) {
	folder := t.TempDir()
	cluster := startCluster(t, 3, 1, func(config *settings.Settings) { config.DataFolder = folder + "/" + config.Name })
	client := runner.NewClient(apiKey)
	defer client.Close()
	program := cluster.newConversation(client, "pupil")
	for turn := range 3 {
		_, err := program.send(t.Context(), turn, 60)
		assert.NilError(t, err)
	}
	for _, node := range cluster.nodes {
		node.kill()
	}
	cluster.nodes = cluster.nodes[:2]
	for _, node := range cluster.nodes {
		node.daemon = startDaemon(t, "mountstile", "node", "--settings", node.file)
	}
	for index := range cluster.nodes {
		cluster.waitReady(index)
	}
	_, err := program.send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.checkConversations([]*conversation{program})
}
