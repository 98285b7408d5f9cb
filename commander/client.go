package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of the client. A request that the entry rejects gives a *Problem
// instead.
var (
	// ErrUnreachable is returned if the entry has certainly not received the
	// statement.
	ErrUnreachable = errors.New("commander: entry not reached")
	// ErrUnknown is returned if the entry may have received the statement, but
	// no valid answer came back.
	ErrUnknown = errors.New("commander: no answer, the outcome is unknown")
)

// maxAnswer is the greatest length of an answer that is read, in bytes.
const maxAnswer = 64 << 20

// Client sends statements to one entry.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// Option configures a Client.
type Option func(*Client)

// HTTP sets the HTTP client, for instance one with TLS. The default is
// http.DefaultClient.
func HTTP(client *http.Client) Option {
	return func(c *Client) {
		c.http = client
	}
}

// New returns a client for the operators' port at the base URL, such as
// "http://127.0.0.1:8082", with an operator's token.
func New(baseURL, token string, opts ...Option) *Client {
	c := &Client{
		baseURL: baseURL,
		token:   token,
		http:    http.DefaultClient,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do sends one statement to the entry and returns its answer.
func (c *Client) Do(ctx context.Context, statement string) (Answer, error) {
	resp, err := c.send(ctx, statement)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Answer{}, errors.WithStack(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	if resp.StatusCode != http.StatusOK {
		return Answer{}, parseProblem(resp.StatusCode, data)
	}
	var answer Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return Answer{}, errors.WithStack(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return answer, nil
}

func (c *Client) send(ctx context.Context, statement string) (*http.Response, error) {
	body, err := json.Marshal(Request{
		Statement: statement,
	})
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: %w", ErrUnreachable, err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: %w", ErrUnreachable, err))
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	sentinel := ErrUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		sentinel = ErrUnreachable
	}
	return nil, errors.WithStack(fmt.Errorf("%w: %w", sentinel, err))
}

func parseProblem(status int, data []byte) error {
	p := &Problem{
		Status: status,
	}
	if err := json.Unmarshal(data, p); err != nil || p.Message == "" {
		p.Message = fmt.Sprintf("the entry answered with status %d", status)
	}
	return p
}
