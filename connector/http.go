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
	// maxAnswer is the most bytes of an answer that are read.
	maxAnswer = 64 << 20
	// maxErrorText is the most bytes of an error's text that are kept.
	maxErrorText = 512
)

// Platform is the client of the platform's log and host list over HTTP. Reads
// ask its addresses in turn until one is reached. Appends go to the first.
type Platform struct {
	client *http.Client
	// addresses is never empty.
	addresses []string
}

// NewPlatform returns a client for the platform at the given base addresses,
// such as "http://127.0.0.1:9000". There must be at least one.
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

// get asks each address until one is reached.
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

// HTTPWorker is the client of one worker over HTTP.
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

// call sends a request with a JSON body and decodes the JSON answer.
func call(ctx context.Context, client *http.Client, method, address string, request, answer any) error {
	req, err := newRequest(ctx, method, address, request)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: make the request: %w", ErrRefused, err))
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendError(err, method, address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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
	guard(ctx, req, data)
	return req, nil
}

// sendError tells a connection that was never made from one that broke.
func sendError(err error, method, address string) error {
	mark := ErrUnknown
	var op *net.OpError
	if errors.Is(err, ErrHeld) || (errors.As(err, &op) && op.Op == "dial") {
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
		return errors.Wrap(ErrBusy, message)
	case http.StatusGone:
		return errors.Wrap(ErrAged, message)
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrFenced, message)
	case http.StatusInsufficientStorage:
		return errors.Wrap(ErrNoRoom, message)
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return errors.Wrap(ErrUnknown, message)
	default:
		return errors.Wrap(ErrRefused, message)
	}
}

// Register tells the platform at the base address that the host is there. A
// host that does not repeat it drops off the platform's list.
func Register(ctx context.Context, client *http.Client, platform string, host Host) error {
	return call(ctx, client, http.MethodPut, platform+"/v1/hosts/"+url.PathEscape(host.Name), host, nil)
}
