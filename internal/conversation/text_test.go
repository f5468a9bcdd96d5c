package conversation

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func FuzzTextRoundTrip(f *testing.F) {
	f.Add([]byte("plain {\"text\"}\n\u2028<b>"))
	f.Add([]byte{0xff, 0, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		encoded, err := json.Marshal(Turn{ID: "t", Text: text})
		assert.NilError(t, err)
		var decoded Turn
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.Equal(t, string(decoded.Text), string(text))
	})
}

// Valid UTF-8 is not encoded in base64.
func TestPlainTextEncoding(t *testing.T) {
	encoded, err := json.Marshal(Text("an ordinary text"))
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `"=an ordinary text"`)
}

func TestInvalidTextEncoding(t *testing.T) {
	var text Text
	err := json.Unmarshal([]byte(`"?x"`), &text)
	var target *ErrTextEncoding
	assert.Assert(t, errors.As(err, &target))
	assert.Assert(t, json.Unmarshal([]byte(`"+!"`), &text) != nil)
	assert.Assert(t, json.Unmarshal([]byte(`7`), &text) != nil)
}

// Guards against texts that JSON escapes to several times their size, so that no message has room for them.
func TestEncodedTextIsAtMostAThirdLonger(t *testing.T) {
	const size = 1 << 10
	for _, char := range []string{"x", "<", "&", "\x01", "\n", "\"", "\\", "é", "\xff"} {
		text := Text(strings.Repeat(char, size))
		encoded, err := json.Marshal(text)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) <= len(text)*4/3+8, "%d bytes of %q for %d", len(encoded), char, len(text))
		var decoded Text
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.Assert(t, bytes.Equal(decoded, text))
	}
}
