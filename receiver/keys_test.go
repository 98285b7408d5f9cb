package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// organisationJobs records the calls that reach it.
type organisationJobs struct {
	receiver.Jobs

	mu        sync.Mutex
	submitted []scheduler.Job
	asked     []receiver.JobRef
}

func (j *organisationJobs) Submit(_ context.Context, job scheduler.Job) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.submitted = append(j.submitted, job)
	return nil
}

func (j *organisationJobs) State(_ context.Context, job receiver.JobRef) (scheduler.JobState, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked = append(j.asked, job)
	return "", receiver.ErrNoJob
}

func (j *organisationJobs) Cancel(_ context.Context, job receiver.JobRef) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked = append(j.asked, job)
	return receiver.ErrNoJob
}

// calls returns how many calls have reached the jobs.
func (j *organisationJobs) calls() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.submitted) + len(j.asked)
}

// keyFixture is a receiver with organisations.
type keyFixture struct {
	*qt.C

	jobs     *organisationJobs
	boot     *timekeeper.FakeBoot
	evidence *authenticator.Evidence
	clock    *timekeeper.Fake
	logs     *memory.Handler
	receiver *receiver.Receiver
}

const jobBody = `{"organisation":"mill","phases":[{"tasks":1}]}`

func newKeyFixture(t *testing.T) *keyFixture {
	f := &keyFixture{
		C:     qt.New(t),
		jobs:  &organisationJobs{},
		boot:  timekeeper.NewFakeBoot(time.Hour),
		clock: timekeeper.NewFake(time.Unix(1_700_000_000, 0)),
		logs:  memory.New(),
	}
	f.evidence = authenticator.NewEvidence(f.boot)
	f.evidence.SetBound(true, 5*time.Second)
	f.receiver = receiver.New(f.jobs, receiver.JSON{}, receiver.Evidence(f.evidence), receiver.Clock(f.clock),
		receiver.Logger(&log.Logger{
			Handler: f.logs,
			Level:   log.DebugLevel,
		}))
	f.setOrganisations(1, "farm", "farm-key")
	f.read(1)
	return f
}

// setOrganisations puts a configuration with one organisation in force.
func (f *keyFixture) setOrganisations(version int64, name string, keys ...string) {
	organisation := receiver.Organisation{
		Organisation: scheduler.Organisation{
			Name: name,
		},
	}
	for _, key := range keys {
		organisation.Keys = append(organisation.Keys, authenticator.DigestOf(key))
	}
	f.receiver.SetConfig(receiver.Config{
		Version: version,
		Routes: []receiver.Route{
			{
				Host:   "desk.example",
				Prefix: "/checks/",
				Queue: scheduler.Queue{
					Name: "checks",
				},
			},
			{
				Host:   "desk.example",
				Prefix: "/open/",
				Public: true,
				Queue: scheduler.Queue{
					Name: "open",
				},
			},
		},
		Organisations: []receiver.Organisation{organisation},
	})
}

// read records that the store has just returned the version in force.
func (f *keyFixture) read(version int64) {
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:     f.boot.SinceBoot(),
		ReachedEnd: true,
		HasConfig:  true,
		Version:    version,
	}, version)
}

// unreadBody fails the test if it is read.
type unreadBody struct {
	c *qt.C
}

func (b unreadBody) Read([]byte) (int, error) {
	b.c.Error("the body was read")
	return 0, http.ErrBodyReadAfterClose
}

func (f *keyFixture) call(method, path string, authorization ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://desk.example"+path, strings.NewReader(jobBody))
	request.Header["Authorization"] = authorization
	recorder := httptest.NewRecorder()
	f.receiver.ServeHTTP(recorder, request)
	return recorder
}

// refuse makes a call whose body must not be read, and returns the answer.
func (f *keyFixture) refuse(method, path string, authorization ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://desk.example"+path, unreadBody{
		c: f.C,
	})
	request.Header["Authorization"] = authorization
	recorder := httptest.NewRecorder()
	f.receiver.ServeHTTP(recorder, request)
	return recorder
}

// TestCallWithoutItsKeyIsServed guards against a call without exactly one known key that
// reaches the jobs or whose body is read.
func TestCallWithoutItsKeyIsServed(t *testing.T) {
	for name, authorization := range map[string][]string{
		"missing":   nil,
		"unknown":   {"Bearer mill-key"},
		"malformed": {"Bearer"},
		"oversized": {"Bearer " + strings.Repeat("k", 5000)},
		"scheme":    {"Basic farm-key"},
		"several":   {"Bearer farm-key", "Bearer farm-key"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeyFixture(t)
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete, http.MethodPut} {
				answer := f.refuse(method, "/checks/a", authorization...)
				f.Assert(answer.Code, qt.Equals, http.StatusUnauthorized)
				f.Assert(answer.Header().Get("WWW-Authenticate"), qt.Equals, "Bearer")
			}
			f.Assert(f.refuse(http.MethodGet, "/checks/", authorization...).Code, qt.Equals, http.StatusUnauthorized)
			f.Assert(f.jobs.calls(), qt.Equals, 0)
		})
	}
}

// TestJobLosesItsOrganisation guards against jobs and questions that do not carry the
// organisation of the key, or that carry the one that a caller wrote into the body.
func TestJobLosesItsOrganisation(t *testing.T) {
	f := newKeyFixture(t)
	f.Assert(f.call(http.MethodPost, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusOK)
	f.Assert(f.call(http.MethodPost, "/open/b", "Bearer farm-key", "nonsense").Code, qt.Equals, http.StatusOK)
	f.Assert(f.call(http.MethodPost, "/open/c").Code, qt.Equals, http.StatusOK)
	f.Assert(f.call(http.MethodGet, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusGone)
	f.Assert(f.call(http.MethodDelete, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusGone)
	f.Assert(f.call(http.MethodGet, "/open/a", "Bearer farm-key").Code, qt.Equals, http.StatusGone)
	var organisations []string
	for _, job := range f.jobs.submitted {
		organisations = append(organisations, job.Organisation)
	}
	for _, job := range f.jobs.asked {
		organisations = append(organisations, job.Organisation)
	}
	f.Assert(organisations, qt.DeepEquals, []string{"farm", "", "", "farm", "farm", ""})
}

// TestKeyIsRequiredWithoutOrganisations guards against a change for deployments without
// organisations.
func TestKeyIsRequiredWithoutOrganisations(t *testing.T) {
	f := newKeyFixture(t)
	f.boot.Advance(time.Hour)
	config, _ := f.receiver.Config()
	config.Version = 2
	config.Organisations = nil
	f.receiver.SetConfig(config)
	f.Assert(f.call(http.MethodPost, "/checks/a").Code, qt.Equals, http.StatusOK)
	f.Assert(f.call(http.MethodPost, "/checks/b", "Bearer x", "Bearer y").Code, qt.Equals, http.StatusOK)
	f.Assert(f.jobs.submitted[0].Organisation, qt.Equals, "")
}

// TestKeyIsAcceptedAfterAPause guards against an entry that was paused or suspended just
// before the check and accepts a key by its old configuration, and against one that was
// cut off and does not answer calls that need no key.
func TestKeyIsAcceptedAfterAPause(t *testing.T) {
	f := newKeyFixture(t)
	f.boot.Advance(4499 * time.Millisecond)
	f.Assert(f.call(http.MethodPost, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusOK)
	f.boot.Advance(time.Millisecond)
	answer := f.refuse(http.MethodPost, "/checks/b", "Bearer farm-key")
	f.Assert(answer.Code, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(answer.Header().Get("Retry-After"), qt.Matches, "[123]")
	// The key may have been added in the meantime.
	f.Assert(f.refuse(http.MethodPost, "/checks/b", "Bearer new-key").Code, qt.Equals, http.StatusServiceUnavailable)
	// No configuration makes these right.
	f.Assert(f.refuse(http.MethodPost, "/checks/b").Code, qt.Equals, http.StatusUnauthorized)
	f.Assert(f.refuse(http.MethodPost, "/checks/b", "Basic x").Code, qt.Equals, http.StatusUnauthorized)
	f.Assert(f.call(http.MethodPost, "/open/c").Code, qt.Equals, http.StatusOK)
	f.Assert(len(f.jobs.submitted), qt.Equals, 2)
}

// pausingEvidence is valid evidence, but the process is paused between its check and the
// next step: meanwhile a new configuration comes into force.
type pausingEvidence struct {
	during func()
}

func (e pausingEvidence) Valid() bool {
	e.during()
	return true
}

// TestKeyIsAcceptedByAConfigurationLoadedBeforeTheCheck guards against checking evidence
// about the new configuration and then accepting a key by the old one.
func TestKeyIsAcceptedByAConfigurationLoadedBeforeTheCheck(t *testing.T) {
	f := newKeyFixture(t)
	receiver.Evidence(pausingEvidence{
		during: func() { f.setOrganisations(2, "farm", "other-key") },
	})(f.receiver)
	f.Assert(f.refuse(http.MethodPost, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusUnauthorized)
}

// TestRevokedKeysStillWork guards against keys that outlive their configuration: both
// keys of an organisation are revoked, then one of them moves to another organisation.
func TestRevokedKeysStillWork(t *testing.T) {
	f := newKeyFixture(t)
	f.setOrganisations(2, "farm", "k1", "k2")
	f.Assert(f.refuse(http.MethodPost, "/checks/a", "Bearer farm-key").Code, qt.Equals, http.StatusUnauthorized)
	f.Assert(f.call(http.MethodPost, "/checks/a", "Bearer k1").Code, qt.Equals, http.StatusOK)
	f.setOrganisations(3, "farm")
	for _, key := range []string{"Bearer k1", "Bearer k2"} {
		f.Assert(f.refuse(http.MethodPost, "/checks/b", key).Code, qt.Equals, http.StatusUnauthorized)
	}
	f.setOrganisations(4, "mill", "k1")
	f.Assert(f.call(http.MethodPost, "/checks/c", "Bearer k1").Code, qt.Equals, http.StatusOK)
	f.Assert(f.refuse(http.MethodPost, "/checks/d", "Bearer k2").Code, qt.Equals, http.StatusUnauthorized)
	f.Assert(f.jobs.submitted[1].Organisation, qt.Equals, "mill")
}

// TestRefusedKeyIsLogged guards against log lines that contain a key or a digest, that
// lack the reason or the route, or of which a flood of wrong keys writes thousands.
func TestRefusedKeyIsLogged(t *testing.T) {
	f := newKeyFixture(t)
	const key = "Zm9vYmFy"
	for range 1000 {
		f.refuse(http.MethodPost, "/checks/a", "Bearer "+key)
	}
	f.refuse(http.MethodPost, "/checks/no~id", "Basic "+key)
	f.clock.Advance(time.Second)
	f.refuse(http.MethodPost, "/checks/a", "Bearer "+key)
	var lines []string
	for _, entry := range f.logs.Entries {
		lines = append(lines, fmt.Sprintln(entry.Message, entry.Fields))
	}
	f.Assert(lines, qt.HasLen, 22)
	text := strings.Join(lines, "")
	f.Assert(strings.Contains(text, key), qt.IsFalse)
	digest := authenticator.DigestOf(key)
	f.Assert(strings.Contains(text, fmt.Sprintf("%x", digest[:4])), qt.IsFalse)
	f.Assert(strings.Contains(text, "no~id"), qt.IsFalse)
	f.Assert(lines[0], qt.Contains, "authenticator: unknown key")
	f.Assert(lines[0], qt.Contains, "route:checks")
	f.Assert(lines[20], qt.Contains, "authenticator: not the Bearer scheme")
	f.Assert(lines[21], qt.Contains, "suppressed:980")
}

// TestRefusalWaitsForTheBody guards against an answer that is sent only once the caller
// has sent its whole body, which is what net/http does by default.
func TestRefusalWaitsForTheBody(t *testing.T) {
	for name, header := range map[string]string{
		"a short body":              "Content-Length: 1000",
		"a long body":               "Content-Length: 200000",
		"a body of unknown length":  "Transfer-Encoding: chunked",
		"a body announced by 100":   "Content-Length: 1000\r\nExpect: 100-continue",
		"a long one announced so":   "Content-Length: 200000\r\nExpect: 100-continue",
		"a short one that is final": "Content-Length: 1000\r\nConnection: close",
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeyFixture(t)
			receiver.Clock(timekeeper.System())(f.receiver)
			server := httptest.NewServer(f.receiver)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			f.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /checks/a HTTP/1.1\r\nHost: desk.example\r\n%s\r\n\r\n", header)
			f.Assert(err, qt.IsNil)
			// Without an answer the test ends with the time limit of the package.
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			f.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			f.Assert(err, qt.IsNil)
			f.Assert(response.Body.Close(), qt.IsNil)
			f.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
		})
	}
}

// TestRefusalEndsTheConnection guards against a new connection for each call of a caller
// whose key is refused, and against the read deadline of a refusal that cuts off a later
// call.
func TestRefusalEndsTheConnection(t *testing.T) {
	f := newKeyFixture(t)
	receiver.Clock(timekeeper.System())(f.receiver)
	addresses := make(chan string, 3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		addresses <- request.RemoteAddr
		f.receiver.ServeHTTP(w, request)
	}))
	defer server.Close()
	for _, want := range []int{http.StatusUnauthorized, http.StatusOK, http.StatusUnauthorized} {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/checks/a", strings.NewReader(jobBody))
		f.Assert(err, qt.IsNil)
		request.Host = "desk.example"
		if want == http.StatusOK {
			request.Header.Set("Authorization", "Bearer farm-key")
		}
		response, err := server.Client().Do(request)
		f.Assert(err, qt.IsNil)
		f.Assert(response.Body.Close(), qt.IsNil)
		f.Assert(response.StatusCode, qt.Equals, want)
	}
	first := <-addresses
	f.Assert(<-addresses, qt.Equals, first)
	f.Assert(<-addresses, qt.Equals, first)
}
