package path_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/resource"
)

// softwareServers are scripted engines of several software versions, and which versions got attempts, by program.
type softwareServers struct {
	mutex    sync.Mutex
	versions map[string][]string
}

// start serves the engines of one version; it returns their URL.
func (s *softwareServers) start(t *testing.T, software string, scripts map[string]script) string {
	t.Helper()
	scripted := &scriptedServer{scripts: scripts, offsets: make(map[string][]int)}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.ChatPath {
			program := r.Header.Get(engine.HeaderProgram)
			s.mutex.Lock()
			s.versions[program] = append(s.versions[program], software)
			s.mutex.Unlock()
		}
		scripted.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	return listener.URL
}

// applySoftware publishes a pool and a service for each model, with count engines of each version.
func applySoftware(t *testing.T, system scriptedCluster, urls map[string]string, counts map[string]int, models []string) {
	t.Helper()
	pools := make(map[string][]resource.Engine)
	for _, model := range models {
		for software, count := range counts {
			for number := range count {
				pools[model] = append(pools[model], resource.Engine{Name: fmt.Sprintf("%s-%s-%d", model, software, number), URL: urls[software], Software: software, Slots: 4})
			}
		}
	}
	applyModels(t, system.Cluster, pools)
}

// TestAnswerKeepsSoftwareVersion checks that an answer that broke off goes on at engines of the software version that began
// it, and fails visibly if there is none.
func TestAnswerKeepsSoftwareVersion(t *testing.T) {
	system := scriptedCluster{Cluster: startCluster(t, 1)}
	scripts := make(map[string]script)
	var several, alone []string
	for number := range 6 {
		several, alone = append(several, fmt.Sprint("several", number)), append(alone, fmt.Sprint("alone", number))
	}
	for _, model := range append(several, alone...) {
		scripts[model] = script{first: abortEarly, second: (*scriptedAttempt).rest, third: (*scriptedAttempt).rest}
	}
	servers := &softwareServers{versions: make(map[string][]string)}
	urls := make(map[string]string)
	for _, software := range []string{"v1", "v2", "v3", ""} {
		urls[software] = servers.start(t, software, scripts)
	}
	applySoftware(t, system, urls, map[string]int{"v1": 2, "v2": 2, "": 2}, several)
	applySoftware(t, system, urls, map[string]int{"v1": 1, "v2": 1, "v3": 1}, alone)
	for _, model := range several {
		got := system.call(t, model, true, scriptedMaxTokens)
		assert.Equal(t, got.content, strings.Join(fullAnswer, ""), "%s: %+v", model, got)
		assert.Assert(t, got.ended && !got.failed, "%s: %+v", model, got)
	}
	for _, model := range alone {
		got := system.call(t, model, true, scriptedMaxTokens)
		assert.Equal(t, got.content, strings.Join(fullAnswer[:chunksBeforeAbort], ""), "%s: %+v", model, got)
		assert.Assert(t, got.failed, "%s: %+v", model, got)
	}
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	for program, versions := range servers.versions {
		for _, software := range versions {
			assert.Equal(t, software, versions[0], "%s: %v", program, versions)
		}
	}
	assert.Equal(t, len(servers.versions), len(several)+len(alone))
}
