package emulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// charactersPerToken is how much text one token stands for.
const charactersPerToken = 4

// promptMessage is what the emulator reads of a message.
type promptMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// flatten makes one text of the messages, as a chat template would.
func flatten(messages []promptMessage) string {
	var text strings.Builder
	for _, message := range messages {
		var content string
		if json.Unmarshal(message.Content, &content) != nil {
			content = string(message.Content)
		}
		text.WriteString(RenderMessage(message.Role, content))
	}
	return text.String()
}

func tokensOf(text string) int { return (len(text) + charactersPerToken - 1) / charactersPerToken }

// chainBlocks names each whole block of a text by the chain of contents up to its end.
func chainBlocks(text string, blockTokens int) []uint64 {
	size := blockTokens * charactersPerToken
	blocks := make([]uint64, 0, len(text)/size)
	digest := xxhash.New()
	for end := size; end <= len(text); end += size {
		// A digest never fails to take bytes.
		_, _ = digest.WriteString(text[end-size : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// tokenText is token number index, from 1, of the answer to a prompt. It is a function of both
// alone, so that an answer that is continued elsewhere can be checked for gaps and doubles.
func tokenText(prompt uint64, index int) string {
	return fmt.Sprintf(" %d:%04x", index, uint16(prompt>>16)^uint16(index*40503))
}

// ExpectedAnswer is the whole answer to a prompt of this many tokens.
func ExpectedAnswer(messages []json.RawMessage, tokens int) string {
	return AnswerText(flatten(decodeMessages(messages)), tokens)
}

func decodeMessages(messages []json.RawMessage) []promptMessage {
	decoded := make([]promptMessage, len(messages))
	for index, message := range messages {
		// What does not decode stays empty; the server has checked it before.
		_ = json.Unmarshal(message, &decoded[index])
	}
	return decoded
}

// countTokens counts the tokens of an answer that this emulator has generated.
func countTokens(answer string) int { return strings.Count(answer, ":") }

// PromptBlocks cuts a flattened text into the cache blocks that a request names, and counts its tokens.
func PromptBlocks(text string, blockTokens int) (blocks []uint64, tokens int) {
	return chainBlocks(text, blockTokens), tokensOf(text)
}

// RenderMessage makes one text of a message, as a chat template would.
func RenderMessage(role, content string) string { return "<" + role + ">" + content }

// AnswerText is an answer of so many tokens to a flattened prompt.
func AnswerText(prompt string, tokens int) string {
	hash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for index := 1; index <= tokens; index++ {
		text.WriteString(tokenText(hash, index))
	}
	return text.String()
}
