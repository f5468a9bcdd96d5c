package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `collector 1 {"event":503,"name":"engine_breaker_open","node":"g1","engine":"e1","time":"2026-01-01T10:00:00.500Z","level":"warning","msg":"m"}
no JSON at all
{"event":503,"name":"engine_breaker_open","node":"g2","engine":"e1","time":"2026-01-01T10:00:00.600Z","msg":"m"}
{"event":605,"name":"request_failed","node":"g1","request":"r1","program":"p","engine":"e1","reason":"execution_unknown","outcome":"outcome_unknown","error":"reset","millis":300,"time":"2026-01-01T10:00:01.000Z","msg":"m"}
{"event":604,"name":"request_ended","node":"g2","request":"r2","program":"p","engine":"e2","status":200,"millis":20,"time":"2026-01-01T10:00:02.000Z","msg":"m"}
{"event":604,"name":"request_ended","node":"g1","request":"other","program":"q","engine":"e2","millis":20,"time":"2026-01-01T10:00:01.500Z","msg":"m"}
{"event":416,"name":"replica_log_failed","node":"s1","error":"no space","time":"2026-01-01T09:59:59.000Z","msg":"m"}
{"event":416,"name":"replica_log_failed","node":"s1","error":"long ago","time":"2026-01-01T09:00:00.000Z","msg":"m"}
{broken
`

func readSample(t *testing.T) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(sampleLog), "sample")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 7)
	return lines
}

func TestReportOfARequest(t *testing.T) {
	report := NewReport(readSample(t), "r1")
	var text strings.Builder
	report.Write(&text)
	printed := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(printed), 4, text.String())
	assert.Assert(t, strings.Contains(printed[0], "replica_log_failed"))
	assert.Assert(t, strings.Contains(printed[1], "engine_breaker_open") && strings.Contains(printed[1], "g1"))
	assert.Assert(t, strings.HasPrefix(printed[2], "10:00:01.000 * g1"))
	assert.Assert(t, strings.HasPrefix(printed[3], "cause: request r1 at g1 ended as execution_unknown"))
	assert.Assert(t, strings.Contains(printed[3], "[reset]"))
}

func TestReportOfAProgram(t *testing.T) {
	report := NewReport(readSample(t), "p")
	assert.Equal(t, len(report.lines), 2)
	assert.Equal(t, len(report.Causes()), 1)
}

const clusterLog = `{"event":414,"name":"replica_set_changed","node":"g2","epoch":3,"members":[{"name":"s1","address":"a"},{"name":"s2"}],"next":null,"time":"2026-01-01T10:00:00.100Z"}
{"event":414,"name":"replica_set_changed","node":"g1","epoch":3,"members":[{"name":"s1","address":"a"},{"name":"s2"}],"next":null,"time":"2026-01-01T10:00:00.200Z"}
{"event":414,"name":"replica_set_changed","node":"g3","epoch":3,"members":[{"name":"s1"},{"name":"s2"}],"time":"2026-01-01T10:00:00.300Z"}
{"event":414,"name":"replica_set_changed","node":"g3","epoch":4,"members":[{"name":"s2"},{"name":"s3"}],"time":"2026-01-01T10:00:00.400Z"}
{"event":605,"name":"request_failed","node":"g1","request":"r1","reason":"turns_unavailable","millis":300,"time":"2026-01-01T10:00:01.000Z"}
`

// TestSameChangeTakesOneLine checks that a change reported by many processes takes one line, that of the
// process that handled the request.
func TestSameChangeTakesOneLine(t *testing.T) {
	lines, err := Read(strings.NewReader(clusterLog), "cluster")
	assert.NilError(t, err)
	var text strings.Builder
	NewReport(lines, "r1").Write(&text)
	printed := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(printed), 4, text.String())
	assert.Assert(t, strings.Contains(printed[0], "g1 +2") && strings.Contains(printed[0], "members=s1,s2"), printed[0])
	assert.Assert(t, !strings.Contains(printed[0], "next="), printed[0])
	assert.Assert(t, strings.Contains(printed[1], "g3 ") && strings.Contains(printed[1], "epoch=4"), printed[1])
}

const streamLog = `{"event":514,"name":"attempt_retried","node":"g1","request":"r1","engine":"e1","outcome":"unknown","time":"2026-01-01T10:00:00.100Z"}
{"event":516,"name":"stream_resumed","node":"g1","request":"r1","engine":"e1","last_event":"2","status":500,"events":0,"outcome":"unknown","time":"2026-01-01T10:00:00.200Z"}
{"event":605,"name":"request_failed","node":"g1","request":"r1","reason":"execution_unknown","outcome":"outcome_unknown","stream":"cut_by_engine","runs":2,"events":2,"last_event":"2","millis":300,"time":"2026-01-01T10:00:01.000Z"}
`

func TestReportOfACutStream(t *testing.T) {
	lines, err := Read(strings.NewReader(streamLog), "gateway")
	assert.NilError(t, err)
	var text strings.Builder
	NewReport(lines, "r1").Write(&text)
	printed := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(printed), 4, text.String())
	assert.Assert(t, strings.Contains(printed[1], "stream_resumed") && strings.Contains(printed[1], "status=500"), printed[1])
	assert.Assert(t, strings.Contains(printed[3], "its stream was cut_by_engine after 2 events, read from 2 answers"), printed[3])
}

const resumedStreamLog = `{"event":604,"name":"request_failed","node":"g1","request":"r1","engine":"e1","software":"v1","stream":"cut_by_engine","events":2,"millis":300,"time":"2026-01-01T10:00:00.300Z"}
{"event":516,"name":"stream_resumed","node":"g2","request":"r3","engine":"e3","software":"v1","last_event":"4","outcome":"succeeded","time":"2026-01-01T10:00:01.900Z"}
{"event":604,"name":"request_ended","node":"g2","request":"r3","resumes":"r1","resume_after":"3","engine":"e3","software":"v1","millis":90,"time":"2026-01-01T10:00:02.000Z"}
{"event":604,"name":"request_ended","node":"g3","request":"r2","resumes":"r1","resume_after":"2","engine":"e2","software":"v1","millis":50,"time":"2026-01-01T10:00:01.000Z"}
`

// The report on any attempt at a stream shows all of them, with the engine and software version of each.
func TestReportOfAStreamOverSeveralAttempts(t *testing.T) {
	lines, err := Read(strings.NewReader(resumedStreamLog), "gateways")
	assert.NilError(t, err)
	for _, id := range []string{"r1", "r2", "r3"} {
		var text strings.Builder
		NewReport(lines, id).Write(&text)
		for _, expected := range []string{"request=r1", "request=r2", "request=r3", "engine=e1", "engine=e2", "engine=e3", "software=v1", "last_event=4"} {
			assert.Assert(t, strings.Contains(text.String(), expected), "%s: %s is missing in %s", id, expected, text.String())
		}
	}
}

func TestUnknownRequest(t *testing.T) {
	report := NewReport(readSample(t), "none")
	assert.Assert(t, !report.Found())
	var text strings.Builder
	report.Write(&text)
	assert.Equal(t, text.String(), "no line is about none\n")
}

func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text), "fuzz")
		if err != nil {
			return
		}
		var printed strings.Builder
		NewReport(lines, "r1").Write(&printed)
	})
}

const endsLog = `{"event":518,"name":"engine_ended","node":"g1","engine":"e1","proof":"refused","requests":["r1","x"],"time":"2026-01-01T10:00:00.100Z"}
{"event":605,"name":"request_failed","node":"g1","request":"r1","engine":"e1","content":"k","engine_ends":1,"reason":"execution_unknown","millis":90,"time":"2026-01-01T10:00:00.150Z"}
{"event":518,"name":"engine_ended","node":"g2","engine":"e2","proof":"refused","requests":["r2"],"time":"2026-01-01T10:00:00.400Z"}
{"event":605,"name":"request_failed","node":"g2","request":"r2","engine":"e2","content":"k","engine_ends":2,"reason":"execution_unknown","millis":90,"time":"2026-01-01T10:00:00.450Z"}
{"event":605,"name":"request_failed","node":"g2","request":"x","engine":"e1","content":"other","engine_ends":1,"reason":"execution_unknown","millis":90,"time":"2026-01-01T10:00:00.460Z"}
`

// The report on one attempt names the engines that ended under all attempts at the request, at any gateway.
func TestReportNamesEnginesThatEndedUnderARequest(t *testing.T) {
	lines, err := Read(strings.NewReader(endsLog), "ends")
	assert.NilError(t, err)
	report := NewReport(lines, "r2")
	assert.Equal(t, len(report.lines), 4)
	assert.DeepEqual(t, []string{report.lines[0].text("engine"), report.lines[2].text("engine")}, []string{"e1", "e2"})
	assert.Equal(t, len(report.Causes()), 2)
}
