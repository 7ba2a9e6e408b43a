package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// callSettings holds the settings of the call command.
type callSettings struct {
	remoteSettings
	class          string
	maxTokens      int
	user           string
	method         string
	path           string
	body           string
	idempotencyKey string
	idempotent     bool
	whole          bool
	timeout        time.Duration
}

func callCommand() *cobra.Command {
	var s callSettings
	cmd := &cobra.Command{
		Use:   "call SERVICE [PROMPT]",
		Short: "Send a request as a caller",
		Long: "Send a chat request with PROMPT to a model service, or a request for --path to a plain service.\n\n" +
			"Exit codes: 0 the request ran, 1 the command failed, 2 wrong usage, 3 the request did not run,\n" +
			"4 it may have run, 5 it ran but failed or its response is incomplete.",
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := s.check(args); err != nil {
				return &usageError{err}
			}
			return s.run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), args)
		},
	}
	s.addFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.class, "class", "", "class of the request; empty for the first class of the service")
	f.IntVar(&s.maxTokens, "limit", 0, "maximum length of the output, tokens; 0 for no limit")
	f.StringVar(&s.user, "user", "", "caller within the workspace that sends the request")
	f.StringVar(&s.method, "method", fasthttp.MethodGet, "HTTP method of a request to a plain service")
	f.StringVar(&s.path, "path", "", "path of a request to a plain service")
	f.StringVar(&s.body, "body", "", "body of a request to a plain service")
	f.StringVar(&s.idempotencyKey, "key", "", "idempotency key, under which a request to a plain service runs at most once")
	f.BoolVar(&s.idempotent, "idempotent", false, "allow retries of the request even if it may have run")
	f.BoolVar(&s.whole, "whole", false, "print the response only when it is complete")
	f.DurationVar(&s.timeout, "timeout", time.Minute, "longest wait for a response that is not streamed, in each attempt")
	return cmd
}

// check validates the settings against each other and against the arguments.
func (s *callSettings) check(args []string) error {
	switch {
	case s.path == "" && len(args) == 1:
		return errors.New("give a PROMPT for a model service, or --path for a plain service")
	case s.path != "" && len(args) == 2:
		return errors.New("give either a PROMPT or --path, not both")
	case s.path != "" && !strings.HasPrefix(s.path, "/"):
		return errors.Errorf("--path: must start with /, not %q", s.path)
	case s.maxTokens < 0:
		return errors.Errorf("--limit: must be 0 or more, not %d", s.maxTokens)
	}
	return nil
}

// run sends the request and prints the response to out. A summary of a streamed
// response goes to log.
func (s *callSettings) run(ctx context.Context, out, log io.Writer, args []string) error {
	c, err := s.newClient()
	if err != nil {
		return err
	}
	if s.path != "" {
		return s.callPlain(ctx, c, out, args[0])
	}
	chat := client.Chat{Service: args[0], Class: s.class, Prompt: args[1], MaxTokens: s.maxTokens, User: s.user}
	if s.whole {
		return s.callWhole(ctx, c, out, chat)
	}
	tokens := 0
	node, err := c.Stream(ctx, chat, func(t client.Token) error {
		tokens++
		_, err := fmt.Fprint(out, t.Text)
		return err
	})
	if tokens > 0 {
		fmt.Fprintln(out)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(log, "%d tokens through node %s\n", tokens, node)
	return nil
}

// callPlain sends a request to a plain service and prints the body of the response.
func (s *callSettings) callPlain(ctx context.Context, c *client.Client, out io.Writer, service string) error {
	r := client.Request{
		Method:         s.method,
		Path:           "/v1/services/" + service + s.path,
		IdempotencyKey: s.idempotencyKey,
		Idempotent:     s.idempotent,
		Body:           []byte(s.body),
		Timeout:        s.timeout,
	}
	resp, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, strings.TrimSpace(string(resp.Body)))
	return err
}

// completion is the part of a chat.completion object that the call command
// prints.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// callWhole sends a chat request without streaming and prints the complete response.
func (s *callSettings) callWhole(ctx context.Context, c *client.Client, out io.Writer, chat client.Chat) error {
	resp, err := c.Complete(ctx, chat, s.timeout)
	if err != nil {
		return err
	}
	var result completion
	if err := json.Unmarshal(resp.Body, &result); err != nil || len(result.Choices) == 0 {
		return errors.Errorf("response is not a chat.completion object: %q", resp.Body)
	}
	_, err = fmt.Fprintln(out, strings.TrimSpace(result.Choices[0].Message.Content))
	return err
}
