package transport

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// Frames are read whichever build wrote them, and earlier builds, which decode the line as a whole, read those of this one.
func TestFramesOfBothBuildsAreRead(t *testing.T) {
	for _, written := range []frame{
		{Kind: "k"},
		{Kind: "k", ID: 7, Payload: json.RawMessage(`{"a":",\"p\":","p":[1,{"p":2}]}`)},
		{Kind: "k", ID: 7, Reply: true, Error: apierr.New(apierr.Internal, apierr.Ran, `text with ,"p": in it`)},
		{Kind: "k", ID: 7, Reply: true, Payload: json.RawMessage(`null`)},
		{Kind: "k", ID: 1 << 60, Payload: json.RawMessage(`"x,\"p\":{}"`), To: `n,"p":`, ClusterID: "c"},
	} {
		whole, err := json.Marshal(written)
		assert.NilError(t, err)
		line, err := written.encode()
		assert.NilError(t, err)
		var byEarlierBuild frame
		assert.NilError(t, json.Unmarshal(line, &byEarlierBuild))
		for _, encoded := range [][]byte{append(whole, '\n'), line} {
			decoded, err := decodeFrame(encoded)
			assert.NilError(t, err)
			assertSameFrame(t, decoded, written)
		}
		assertSameFrame(t, byEarlierBuild, written)
	}
}

func assertSameFrame(t *testing.T, got, want frame) {
	t.Helper()
	for _, pair := range [][2]any{{got.Kind, want.Kind}, {got.ID, want.ID}, {got.Reply, want.Reply}, {got.To, want.To}, {got.ClusterID, want.ClusterID}} {
		assert.Equal(t, pair[0], pair[1])
	}
	assert.Equal(t, string(got.Payload), string(want.Payload))
	assert.DeepEqual(t, got.Error, want.Error)
}

// Lines that are no frames are refused, also where a part of them is one.
func TestLinesThatAreNoFramesAreRefused(t *testing.T) {
	for _, line := range []string{"\n", "{\n", `{"k":"k","p":}` + "\n", `{"k":"k","p":1}}` + "\n", `{"k":1,"p":1}` + "\n", `{"k":"k","p":1},"p":2}` + "\n", `x,"p":1}` + "\n"} {
		_, err := decodeFrame([]byte(line))
		assert.Assert(t, err != nil, line)
	}
}
