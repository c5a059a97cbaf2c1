package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxBodyBytes bounds the request body that a stand-in reads.
const maxBodyBytes = 16 << 20

func decodeBody[T any](w http.ResponseWriter, r *http.Request) ([]byte, T, error) {
	var value T
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, value, err
	}
	err = json.Unmarshal(raw, &value)
	return raw, value, err
}

// completion builds responses of the OpenAI-compatible API.
type completion struct {
	id    string
	model string
	chat  bool
}

// Completion is a complete response or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the only choice of a Completion. Text is set by /v1/completions,
// Message by a complete chat response and Delta by an event of a chat stream.
type Choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
}

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Content returns the text of the response or event.
func (c Completion) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	if choice.Message != nil {
		return choice.Message.Content
	}
	if choice.Delta != nil {
		return choice.Delta.Content
	}
	return choice.Text
}

func (c completion) complete(text string) Completion {
	if !c.chat {
		return c.build("text_completion", Choice{Text: text})
	}
	return c.build("chat.completion", Choice{Message: &Message{Role: "assistant", Content: text}})
}

func (c completion) event(token string) Completion {
	if !c.chat {
		return c.build("text_completion", Choice{Text: token})
	}
	return c.build("chat.completion.chunk", Choice{Delta: &Message{Content: token}})
}

func (c completion) build(object string, choice Choice) Completion {
	return Completion{ID: c.id, Object: object, Model: c.model, Choices: []Choice{choice}}
}

// StreamText returns the concatenated text of a received stream, and whether the stream
// ended with [DONE]. It returns "" for a stream with an event that is not a Completion.
func StreamText(stream string) (text string, done bool) {
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !ok || strings.HasPrefix(data, `{"error"`) {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event Completion
		if done || json.Unmarshal([]byte(data), &event) != nil {
			return "", false
		}
		text += event.Content()
	}
	return text, done
}
