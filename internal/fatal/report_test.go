package fatal

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Gateways that hear of ends of engines at different times count alike.
func TestGatewaysCountAlikeWheneverTheyHear(t *testing.T) {
	s, other := newScene(), newScene()
	for range MaxEnds {
		s.interruptInLife(5, true)
		s.EngineEnded(s.now, "e", "models", false)
	}
	other.now = s.now.Add(time.Second)
	reports, _ := s.Unshared(s.now)
	for _, report := range reports {
		other.Apply(other.now, report)
	}
	s.assertCount(t, "k", MaxEnds, 0)
	other.assertCount(t, "k", MaxEnds, 0)
}

// share passes all news of a tracker to another one, after encoding.
func (s *scene) share(t *testing.T, others ...*scene) {
	t.Helper()
	reports, withdrawn := s.Unshared(s.now)
	for _, other := range append(others, s) {
		for _, name := range withdrawn {
			other.Withdraw(name)
		}
		for _, report := range reports {
			encoded, err := report.Encode()
			assert.NilError(t, err)
			decoded, err := DecodeReport(report.Name(), encoded)
			assert.NilError(t, err)
			other.Apply(other.now, decoded)
		}
	}
}

// A caller that sends its request to one gateway after the other is refused after three ends, though no gateway has seen more than
// one of them.
func TestEndsCountOverGateways(t *testing.T) {
	var gateways []*scene
	for range MaxEnds + 1 {
		gateways = append(gateways, newScene())
	}
	for number, gateway := range gateways {
		assert.Equal(t, gateway.decide("k") == Refuse, number == MaxEnds, "attempt %d", number)
		gateway.end(Call{Key: "k", Request: fmt.Sprint("r", number)}, fmt.Sprint("e", number), 30*time.Millisecond)
		for _, other := range gateways {
			other.now = gateway.now
		}
		gateway.share(t, gateways...)
	}
}

// Other gateways hear of an interruption at once, and again if its engine has survived.
func TestInterruptionsAreSharedBeforeTheyAreDecided(t *testing.T) {
	s, other := newScene(), newScene()
	s.interrupt(Call{Key: "k", Request: "r"}, "e", time.Millisecond)
	s.share(t, other)
	other.assertCount(t, "k", 0, 1)
	other.pass(time.Millisecond)
	other.EngineAlive(other.now, "e")
	other.assertCount(t, "k", 0, 1)
	requests, _ := other.EngineEnded(other.now, "e", "models", false)
	assert.Equal(t, len(requests), 0)
	other.assertCount(t, "k", 1, 0)
	s.pass(time.Millisecond)
	s.EngineAlive(s.now, "e")
	s.share(t, other)
	assert.Assert(t, s.Empty() && other.Empty())
}

// A gateway that finds an engine in the life that another one's run had is sure that it has survived, also if that gateway is gone.
func TestAnyGatewayProvesThatALifeLasts(t *testing.T) {
	s, other := newScene(), newScene()
	for number := range int64(2) {
		broken := s.run("e", time.Millisecond)
		broken.StartedMillis = 7 + number
		s.Interrupted(s.now, Call{Key: "k", Request: "r"}, broken)
		s.pass(time.Second)
	}
	s.share(t, other)
	other.assertCount(t, "k", 0, 2)
	assert.DeepEqual(t, other.UndecidedEngines("k"), []string{"e"})
	other.LifeLasts(other.now, "e", 0)
	other.LifeLasts(other.now, "e", 9)
	other.assertCount(t, "k", 0, 2)
	other.LifeLasts(other.now, "e", 8)
	other.assertCount(t, "k", 0, 1)
	other.share(t, s)
	assert.Equal(t, len(s.requests["k"].runs), 1)
}

// Reports that arrive late keep the time between the ends that they tell of.
func TestLateReportsTellDistinctEnds(t *testing.T) {
	s, other := newScene(), newScene()
	for range MaxEnds {
		s.end(Call{Key: "k", Request: "r"}, "e", 10*time.Millisecond)
		s.Unshared(s.now)
		s.pass(time.Second)
	}
	other.now = s.now.Add(time.Minute)
	for _, report := range s.Reports(s.now, "k") {
		report.body.AgeMicros = 0
		other.Apply(other.now, report)
	}
	other.assertCount(t, "k", MaxEnds, 0)
}

func TestInvalidReportsAreRejected(t *testing.T) {
	valid := `{"e":"e1","s":"models","d":5,"b":6,"p":0.1,"c":7,"unknown":true}`
	_, err := DecodeReport("key/nonce", []byte(valid))
	assert.NilError(t, err)
	for _, row := range []struct{ name, body string }{
		{"key", valid}, {"/nonce", valid}, {"key/", valid}, {"", valid}, {"key/nonce", "{"}, {"key/nonce", "null"}, {"key/nonce", `{"s":"models"}`},
		{"key/nonce", `{"e":"e1","d":-1}`}, {"key/nonce", `{"e":"e1","a":9000000000000000000}`}, {"key/nonce", `{"e":7}`},
		{fmt.Sprintf("key/%064d", 1), valid},
	} {
		_, err := DecodeReport(row.name, []byte(row.body))
		var invalid *ErrReport
		assert.Assert(t, errors.As(err, &invalid), "%q %s", row.name, row.body)
	}
}

// Reports of the build before tell of ends that are proved; that build reads the fields that it knows, and takes each report for an end.
func TestReportsOfTheBuildBefore(t *testing.T) {
	s := newScene()
	for number := range MaxEnds {
		report, err := DecodeReport(fmt.Sprint("k/", number), fmt.Appendf(nil, `{"e":"e%d","s":"models","v":"v1","c":7,"a":1000,"d":5000,"b":6000,"p":0.3,"o":true}`, number))
		assert.NilError(t, err)
		s.Apply(s.now, report)
	}
	assert.Equal(t, s.decide("k"), Refuse)
	s.interrupt(Call{Key: "own", Request: "r"}, "e", time.Millisecond)
	reports, _ := s.Unshared(s.now)
	encoded, err := reports[0].Encode()
	assert.NilError(t, err)
	var fields struct {
		Engine   string  `json:"e"`
		Service  string  `json:"s"`
		Call     uint32  `json:"c"`
		Age      int64   `json:"a"`
		Exposure int64   `json:"d"`
		Since    int64   `json:"b"`
		Chance   float64 `json:"p"`
		Fatal    bool    `json:"f"`
	}
	assert.NilError(t, json.Unmarshal(encoded, &fields))
	assert.Equal(t, fields.Engine+fields.Service, "emodels")
	assert.Equal(t, fields.Exposure, time.Millisecond.Microseconds())
	assert.Assert(t, fields.Call != 0 && !fields.Fatal)
}
