package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
)

const (
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
	// maxErrorText limits how many bytes of a response body are included in an
	// error.
	maxErrorText = 512
)

// Platform is the HTTP client of the platform's log and host list. Reads try the
// addresses in order until one is reached. Appends go to the first address only.
type Platform struct {
	client *http.Client
	// addresses is never empty.
	addresses []string
}

// NewPlatform returns a client for the platform at the given base URLs, such as
// "http://127.0.0.1:9000". There must be at least one.
func NewPlatform(client *http.Client, addresses ...string) *Platform {
	return &Platform{
		client:    client,
		addresses: addresses,
	}
}

// Append implements Log.
func (p *Platform) Append(ctx context.Context, stream string, payloads [][]byte) (namer.Offset, error) {
	var answer struct {
		Offset namer.Offset `json:"offset"`
	}
	path := "/v1/streams/" + url.PathEscape(stream) + "/records"
	err := call(ctx, p.client, http.MethodPost, p.addresses[0]+path, payloads, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (p *Platform) Read(ctx context.Context, stream string, from namer.Offset, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait", wait.String())
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	var batch Batch
	err := p.get(ctx, path, &batch)
	return batch, err
}

// List implements Hosts.
func (p *Platform) List(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := p.get(ctx, "/v1/hosts", &hosts)
	return hosts, err
}

// get tries each address in order until one is reached.
func (p *Platform) get(ctx context.Context, path string, answer any) error {
	var err error
	for _, address := range p.addresses {
		err = call(ctx, p.client, http.MethodGet, address+path, nil, answer)
		if !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	return err
}

// HTTPWorker is the HTTP client of one worker. It implements Worker.
type HTTPWorker struct {
	client *http.Client
	base   string
}

// NewWorker returns a client for the worker at the given host and port.
func NewWorker(client *http.Client, address string) *HTTPWorker {
	return &HTTPWorker{
		client: client,
		base:   "http://" + address,
	}
}

// Start implements Worker.
func (w *HTTPWorker) Start(ctx context.Context, start Start) error {
	return call(ctx, w.client, http.MethodPost, w.base+"/v1/start", start, nil)
}

// Renew implements Worker.
func (w *HTTPWorker) Renew(ctx context.Context, renewal Renewal) (Report, error) {
	var report Report
	err := call(ctx, w.client, http.MethodPost, w.base+"/v1/renew", renewal, &report)
	return report, err
}

// Stop implements Worker.
func (w *HTTPWorker) Stop(ctx context.Context, stop Stop) error {
	return call(ctx, w.client, http.MethodPost, w.base+"/v1/stop", stop, nil)
}

// Throttle implements Worker.
func (w *HTTPWorker) Throttle(ctx context.Context, throttle Throttle) error {
	return call(ctx, w.client, http.MethodPost, w.base+"/v1/throttle", throttle, nil)
}

// call sends a request with a JSON body and decodes the JSON response. A nil
// request sends no body, and a nil answer ignores the response's body.
func call(ctx context.Context, client *http.Client, method, address string, request, answer any) error {
	req, err := newRequest(ctx, method, address, request)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: make the request: %w", ErrRefused, err))
	}
	resp, err := client.Do(req)
	if err != nil {
		return markSendError(err, method, address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: read the answer of %s: %w", ErrUnknown, address, err))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return statusError(resp.StatusCode, address, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.WithStack(fmt.Errorf("%w: decode the answer of %s: %w", ErrUnknown, address, err))
	}
	return nil
}

func newRequest(ctx context.Context, method, address string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, address, http.NoBody)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	setGuardedBody(ctx, req, data)
	return req, nil
}

// markSendError marks an error of http.Client.Do: with ErrUnreachable if no
// connection was made or the guard held the request back, otherwise with
// ErrUnknown.
func markSendError(err error, method, address string) error {
	mark := ErrUnknown
	var op *net.OpError
	if errors.Is(err, ErrHeldBack) || (errors.As(err, &op) && op.Op == "dial") {
		mark = ErrUnreachable
	}
	return errors.WithStack(fmt.Errorf("%w: %s %s: %w", mark, method, address, err))
}

func statusError(status int, address string, text []byte) error {
	message := fmt.Sprintf("%s answered %d: %s", address, status, text[:min(len(text), maxErrorText)])
	switch status {
	case http.StatusServiceUnavailable:
		return errors.Wrap(ErrUnreachable, message)
	case http.StatusTooManyRequests:
		return errors.Wrap(ErrRateLimited, message)
	case http.StatusGone:
		return errors.Wrap(ErrTrimmed, message)
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrFenced, message)
	case http.StatusInsufficientStorage:
		return errors.Wrap(ErrNoCapacity, message)
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return errors.Wrap(ErrUnknown, message)
	default:
		return errors.Wrap(ErrRefused, message)
	}
}

// Register adds the host to the host list of the platform at the base URL, or
// renews its entry. A host that does not register again is removed from the list.
func Register(ctx context.Context, client *http.Client, platform string, host Host) error {
	return call(ctx, client, http.MethodPut, platform+"/v1/hosts/"+url.PathEscape(host.Name), host, nil)
}
