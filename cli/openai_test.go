package cli

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/parsleydeal/parsleydeal/standin"
)

// openaiClient returns a client of OpenAI's Go library for the first entry, without retries.
func (l *local) openaiClient(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+l.callers[0]+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func question(route string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    route,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("When is my licence due for renewal?")},
	}
}

func TestOpenAIClientGetsCompleteAnswer(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{firstToken: 1, tokenGap: 1, tokens: 5})
	c := l.openaiClient(demoKey)
	a, err := c.Chat.Completions.New(t.Context(), question("quick"))
	is.NoErr(err)
	is.Equal(a.Model, "small@1")
	is.Equal(a.Choices[0].Message.Content, "w0 w1 w2 w3 w4 ")
	is.Equal(a.Choices[0].FinishReason, "stop")
	is.Equal(a.Usage.CompletionTokens, int64(5))
	is.Equal(a.Usage.TotalTokens, a.Usage.PromptTokens+5)
}

func TestOpenAIClientStreams(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{firstToken: 1, tokenGap: 1, tokens: 5})
	c := l.openaiClient(demoKey)
	p := question("dossier")
	p.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := c.Chat.Completions.NewStreaming(t.Context(), p)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, "w0 w1 w2 w3 w4 ")
	is.Equal(string(acc.Choices[0].Message.Role), "assistant")
	is.Equal(acc.Choices[0].FinishReason, "stop")
	is.Equal(acc.Usage.CompletionTokens, int64(5))
}

func TestOpenAIClientListsOnlyItsModels(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 1}, func(l *local) {
		l.tables = slices.Concat(demoTables, []byte(otherOrganisation))
	})
	names := func(key string) (out []string) {
		c := l.openaiClient(key)
		page, err := c.Models.List(t.Context())
		is.NoErr(err)
		for _, m := range page.Data {
			out = append(out, m.ID)
		}
		return out
	}
	is.Equal(names(demoKey), []string{"dossier", "quick"})
	is.Equal(names(otherKey), []string{"bulletin"})
	c := l.openaiClient(otherKey)
	_, err := c.Chat.Completions.New(t.Context(), question("quick"))
	is.Equal(statusOf(err), 404) // the response does not reveal that the route exists
}

func statusOf(err error) int {
	var e *openai.Error
	if errors.As(err, &e) {
		return e.StatusCode
	}
	return 0
}

func TestOpenAIClientReadsTypedErrors(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 1})
	c := l.openaiClient("wrong")
	_, err := c.Models.List(t.Context())
	var e *openai.Error
	is.True(errors.As(err, &e))
	is.Equal(e.StatusCode, 401)
	is.Equal(e.Code, "unauthorised")
	is.Equal(e.Response.Header.Get("Parsleydeal-Run"), "not-run")
	p := question("quick")
	p.N = openai.Int(2)
	good := l.openaiClient(demoKey)
	_, err = good.Chat.Completions.New(t.Context(), p)
	is.True(errors.As(err, &e))
	is.Equal(e.StatusCode, 400)
	is.True(strings.Contains(e.Message, "n: is 2, 1 is allowed"))
}

// Every engine breaks its stream after the first tokens, when the caller already has a part of the
// answer. The client must report an error: the answer would otherwise look complete but short.
func TestOpenAIClientReportsBrokenStream(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{firstToken: 1, tokenGap: 1, tokens: 9})
	for _, e := range l.engines {
		e.SetFaults(standin.EngineFaults{BreakAfter: 3})
	}
	c := l.openaiClient(demoKey)
	stream := c.Chat.Completions.NewStreaming(t.Context(), question("quick"))
	finished := false
	for stream.Next() {
		finished = finished || stream.Current().Choices[0].FinishReason != ""
	}
	is.True(stream.Err() != nil)
	is.True(!finished)
}

// The engine returns a tool call in addition to text. The client must get the complete call, with
// and without streaming.
func TestOpenAIClientGetsToolCalls(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{firstToken: 1, tokenGap: 1, tokens: 4})
	for _, e := range l.engines {
		e.SetFaults(standin.EngineFaults{ToolCall: true})
	}
	c := l.openaiClient(demoKey)
	a, err := c.Chat.Completions.New(t.Context(), question("quick"))
	is.NoErr(err)
	is.Equal(a.Choices[0].Message.ToolCalls[0].Function.Name, "renewal")
	stream := c.Chat.Completions.NewStreaming(t.Context(), question("quick"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.ToolCalls[0].ID, "call-1")
	is.Equal(acc.Choices[0].Message.Content, a.Choices[0].Message.Content)
}

// A caller disconnects during a stream. Unless the cancellation reaches the engine, the engine
// continues an answer that nobody reads, and the endpoint's slot stays occupied.
func TestCancelReachesTheEngine(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{firstToken: 1, tokenGap: 20, tokens: 1000})
	ctx, cancel := context.WithCancel(t.Context())
	c := l.openaiClient(demoKey)
	stream := c.Chat.Completions.NewStreaming(ctx, question("quick"))
	is.True(stream.Next())
	running := func() (n int64) {
		for _, e := range l.engines {
			n += e.Running()
		}
		return n
	}
	is.Equal(running(), int64(1))
	cancel()
	is.NoErr(waitUntil(t.Context(), func() bool { return running() == 0 }))
}

const otherKey = "other-key"

const otherOrganisation = `
[tables.organisations.harbour]
key-hashes = ["580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca"]
weight = 1

[tables.routes.bulletin]
organisations = ["harbour"]
models = [{ model = "small", shares = { 1 = 1.0 } }]
quality-target = 0.5
`
