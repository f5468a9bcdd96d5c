package ingress

import (
	"maps"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

// malformedResponses returns malformed responses to a call by name. Their heads have all fields that make them valid responses to it.
func (c *engineCall) malformedResponses(fields, body string) map[string]string {
	fields = "Call: " + c.id + "\r\nSeal: s\r\n" + fields
	responses := rawserver.MalformedHeads(fields, body)
	maps.Copy(responses, rawserver.UnreadableHeads(fields, body))
	return responses
}

// malformedTrailers returns responses to a call by name that are malformed after their body.
func (c *engineCall) malformedTrailers(fields, body string) map[string]string {
	fields = "Call: " + c.id + "\r\nSeal: s\r\n" + fields
	responses := rawserver.MalformedTrailers(fields, body)
	maps.Copy(responses, rawserver.UnreadableTrailers(fields, body))
	return responses
}

// malformedNames returns the names of the malformed responses.
func malformedNames() []string {
	var names []string
	for name := range (&engineCall{}).malformedResponses("", "") {
		names = append(names, name)
	}
	return names
}

// writeMalformed sends a malformed response. Its connection stays open.
func (c *engineCall) writeMalformed(name, body string) {
	c.write("%s", c.malformedResponses(eventStreamHeader+"\r\n", body)[name])
}

// Guards against malformed responses of engines that callers get, on each kind of route.
func TestMalformedResponseIsNotForwarded(t *testing.T) {
	t.Parallel()
	for _, name := range malformedNames() {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/", "/kept/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cluster := newTestCluster(t)
				if path == "/kept/" {
					cluster.withReplica()
				}
				engine := cluster.engine("e", func(call *engineCall) { call.writeMalformed(name, "id: 1\ndata: e1\n\n") })
				got := cluster.send(path, "c1", "")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
				assert.Assert(t, engine.runs.Load() > 0)
			})
		}
	}
}

// A safe call is served by another engine, and the one with malformed responses gets few calls.
func TestCallsLeaveEngineWithMalformedResponses(t *testing.T) {
	t.Parallel()
	const calls = 100
	for _, name := range malformedNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			broken := cluster.engine("broken", func(call *engineCall) { call.writeMalformed(name, "broken") })
			sound := cluster.engine("sound", func(call *engineCall) { call.reply(http.StatusOK, "sound") }).specification
			// The gateway prefers engines of its own zone, so that the first call is sent to the other one.
			sound.Zone = "b"
			cluster.apply(catalog.EngineKind, sound.ID, sound)
			for range calls {
				got := cluster.send("/safe/", "c1", "")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "sound")
			}
			assert.Assert(t, broken.runs.Load() > 0)
			assert.Assert(t, broken.runs.Load() < calls/4, "the engine got %d of %d calls", broken.runs.Load(), calls)
		})
	}
}

// An interrupted stream goes on after a malformed response to its resumption.
func TestStreamResumesAfterMalformedResponse(t *testing.T) {
	t.Parallel()
	for _, name := range malformedNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.engine("e", func(call *engineCall) {
				switch call.number {
				case 1:
					call.beginStream()
					call.event(1)
					call.reset()
				case 2:
					call.writeMalformed(name, "id: 2\ndata: malformed\n\n")
				default:
					call.beginStream()
					call.event(2)
					call.endStream()
				}
			})
			got := cluster.send("/resume/", "c1", "")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
		})
	}
}

// A malformed response proves nothing, even if it says that the call was not run.
func TestMalformedRefusalIsNoProof(t *testing.T) {
	t.Parallel()
	for _, name := range malformedNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			engine := cluster.engine("e", func(call *engineCall) {
				call.write("%s", call.malformedResponses("Untouched: 1\r\n", "")[name])
			})
			got := cluster.send("/unsafe/", "c1", "")
			assert.NilError(t, got.err)
			// 503 would tell that the call was not run.
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, engine.runs.Load(), int64(1))
		})
	}
}

// Guards against a check that withholds well-formed responses from callers.
func TestUnusualResponseIsForwarded(t *testing.T) {
	t.Parallel()
	for name, statusLine := range map[string]string{"status 599": "599 Last", "undefined status": "299 Other", "empty reason": "200 ", "no reason": "200"} {
		for _, path := range []string{"/safe/", "/unsafe/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cluster := newTestCluster(t)
				cluster.engine("e", func(call *engineCall) {
					call.write("HTTP/1.1 %s\r\nCall: %s\r\nSeal: s\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok", statusLine, call.id)
				})
				got := cluster.send(path, "c1", "")
				assert.NilError(t, got.err)
				assert.Equal(t, strconv.Itoa(got.status), statusLine[:3])
				assert.Equal(t, got.body, "ok")
				assert.DeepEqual(t, got.header["X-Empty"], []string{""})
			})
		}
	}
}

// Guards against responses with malformed trailers that are forwarded as whole ones. Of a stream, callers have got the events by then.
func TestMalformedTrailerIsNotForwardedAsWhole(t *testing.T) {
	t.Parallel()
	for name := range (&engineCall{}).malformedTrailers("", "") {
		for path, streamed := range map[string]bool{"/safe/": false, "/unsafe/": false, "/stream/": true, "/resume/": true, "/kept/": true} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cluster := newTestCluster(t)
				if path == "/kept/" {
					cluster.withReplica()
				}
				cluster.engine("e", func(call *engineCall) {
					call.write("%s", call.malformedTrailers(eventStreamHeader+"\r\n", "id: 1\ndata: e1\n\n")[name])
				})
				got := cluster.send(path, "c1", "")
				if streamed && got.status == http.StatusOK {
					assert.Assert(t, got.err != nil, "%q", got.body)
					return
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
			})
		}
	}
}
