package coordinator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// configureOrganisations writes a configuration with a route that needs a key and a
// public one. The keys are given by organisation.
func (cl *cluster) configureOrganisations(version int64, keys map[string][]string) {
	config := receiver.Config{
		Version: version,
	}
	for _, prefix := range []string{"/checks/", "/open/"} {
		config.Routes = append(config.Routes, receiver.Route{
			Host:   "127.0.0.1",
			Prefix: prefix,
			Public: prefix == "/open/",
			Queue: scheduler.Queue{
				Name:        prefix,
				Service:     service,
				MaxAttempts: 2,
				SlackFactor: 2,
			},
		})
	}
	for name, ofOrganisation := range keys {
		organisation := receiver.Organisation{
			Organisation: scheduler.Organisation{
				Name: name,
			},
		}
		for _, key := range ofOrganisation {
			organisation.Keys = append(organisation.Keys, authenticator.DigestOf(key))
		}
		config.Organisations = append(config.Organisations, organisation)
	}
	cl.write(configPartition, "config", config)
}

// callWithKey makes a request with a key and returns the status.
func (cl *cluster) callWithKey(method, url, key string, body []byte) int {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// awaitStatus makes a request with a key until it is answered with the status.
func (cl *cluster) awaitStatus(method, url, key string, body []byte, status int) {
	for cl.callWithKey(method, url, key, body) != status {
		time.Sleep(10 * time.Millisecond)
	}
}

// strict has keys stop working within a bound that a test can wait for.
func strict() coordinator.Option {
	return coordinator.Revocation(true, 3*time.Second)
}

func newStrictCluster(t *testing.T, entries int) *cluster {
	return newStrictClusterWith(t, 0, entries)
}

func newStrictClusterWith(t *testing.T, workers, entries int) *cluster {
	cl := newCluster(t, workers)
	cl.configureOrganisations(2, map[string][]string{
		"farm": {"farm-1", "farm-2"},
		"mill": {"mill-1"},
	})
	for i := range entries {
		cl.start(fmt.Sprintf("entry-%d", i), strict())
	}
	return cl
}

// TestRevokedKeyWorksWhereTheStoreRefusesAnEntry guards against a revoked key that keeps
// working, or a new or remaining one that does not work, at an entry that the store
// refuses or leaves without an answer while it serves others.
func TestRevokedKeyWorksWhereTheStoreRefusesAnEntry(t *testing.T) {
	cl := newStrictCluster(t, 3)
	refused, silent := cl.entries[1], cl.entries[2]
	for i, e := range cl.entries {
		cl.awaitStatus(http.MethodPost, fmt.Sprintf("%s/checks/job%d", e.callers, i), "farm-1", body(1), http.StatusOK)
	}
	refused.store.blocked.Store(true)
	silent.store.silent.Store(true)
	// One key moves to another organisation, both of its owner's are revoked.
	cl.configureOrganisations(3, map[string][]string{
		"farm": {"farm-3"},
		"mill": {"farm-2", "mill-1"},
	})
	for i, e := range cl.entries {
		cl.awaitStatus(http.MethodPost, e.callers+"/checks/revoked", "farm-1", body(1), http.StatusUnauthorized)
		for _, key := range []string{"farm-3", "farm-2"} {
			cl.awaitStatus(http.MethodPost, fmt.Sprintf("%s/checks/%s-%d", e.callers, key, i), key, body(1), http.StatusOK)
		}
		cl.awaitReady(e, http.StatusOK)
	}
	cl.awaitStatus(http.MethodGet, cl.entries[0].callers+"/checks/job0", "farm-3", nil, http.StatusOK)
	cl.awaitStatus(http.MethodGet, cl.entries[0].callers+"/checks/job0", "farm-2", nil, http.StatusGone)
	cl.awaitStatus(http.MethodGet, cl.entries[0].callers+"/checks/farm-2-0", "mill-1", nil, http.StatusOK)
	silent.store.silent.Store(false)
}

// TestKeysAreAcceptedWithoutTheStore guards against keys that are accepted for ever while
// the store answers nobody, against public routes that need evidence, and against an entry
// that does not recover.
func TestKeysAreAcceptedWithoutTheStore(t *testing.T) {
	cl := newStrictCluster(t, 2)
	e := cl.entries[0]
	cl.awaitStatus(http.MethodPost, e.callers+"/checks/job", "farm-1", body(1), http.StatusOK)
	cl.awaitStatus(http.MethodPost, e.callers+"/open/job", "", body(1), http.StatusOK)
	cl.store.SetFailure(storer.ErrUnavailable)
	cl.awaitStatus(http.MethodGet, e.callers+"/checks/job", "farm-1", nil, http.StatusServiceUnavailable)
	cl.awaitReady(e, http.StatusServiceUnavailable)
	cl.awaitStatus(http.MethodGet, e.callers+"/checks/", "", nil, http.StatusUnauthorized)
	cl.store.SetFailure(nil)
	cl.awaitStatus(http.MethodGet, e.callers+"/checks/job", "farm-1", nil, http.StatusOK)
	cl.awaitReady(e, http.StatusOK)
}

// TestOrganisationReachesTheJobOfAnother guards against a job whose state another
// organisation sees, or that it cancels, and against telling such a job from one that
// does not exist.
func TestOrganisationReachesTheJobOfAnother(t *testing.T) {
	cl := newStrictCluster(t, 2)
	// Jobs that last until they are cancelled.
	lasting := []byte(`{"phases":[{"tasks":1,"lasting":true}]}`)
	cl.awaitStatus(http.MethodPost, cl.entries[0].callers+"/checks/job", "farm-1", lasting, http.StatusOK)
	cl.awaitStatus(http.MethodPost, cl.entries[0].callers+"/open/free", "", lasting, http.StatusOK)
	for _, e := range cl.entries {
		cl.awaitStatus(http.MethodGet, e.callers+"/checks/job", "farm-2", nil, http.StatusOK)
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			cl.awaitStatus(method, e.callers+"/checks/job", "mill-1", nil, http.StatusGone)
			cl.awaitStatus(method, e.callers+"/checks/nobody", "mill-1", nil, http.StatusGone)
			// On a public route the key is ignored.
			cl.awaitStatus(method, e.callers+"/open/job", "farm-1", nil, http.StatusGone)
		}
	}
	cl.c.Assert(cl.stateWithKey(cl.entries[0], "/checks/job", "farm-1"), qt.Not(qt.Equals), scheduler.Cancelled)
	for path, key := range map[string]string{
		"/checks/job": "farm-1",
		"/open/free":  "",
	} {
		cl.awaitStatus(http.MethodDelete, cl.entries[1].callers+path, key, nil, http.StatusOK)
		for cl.stateWithKey(cl.entries[0], path, key) != scheduler.Cancelled {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// stateWithKey returns the state of a job as the entry answers it, empty if it does not.
func (cl *cluster) stateWithKey(e *entry, path, key string) scheduler.JobState {
	request, err := http.NewRequest(http.MethodGet, e.callers+path, nil)
	cl.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	cl.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var got struct {
		State scheduler.JobState
	}
	if response.StatusCode == http.StatusOK {
		cl.c.Assert(json.NewDecoder(response.Body).Decode(&got), qt.IsNil)
	}
	return got.State
}

// TestCancellingOfAnUnknownJobIsStored guards against a job that runs although its cancelling was
// answered with 410, as its own append was still under way.
func TestCancellingOfAnUnknownJobIsStored(t *testing.T) {
	cl := newStrictClusterWith(t, 1, 2)
	lasting := []byte(`{"phases":[{"tasks":1,"size":{"milliCores":1000},"lasting":true}]}`)
	first, second := cl.entries[0], cl.entries[1]
	for path, key := range map[string]string{
		"/checks/late": "farm-1",
		"/open/late2":  "",
	} {
		cl.awaitStatus(http.MethodDelete, second.callers+path, key, nil, http.StatusGone)
		cl.awaitStatus(http.MethodGet, second.callers+path, key, nil, http.StatusGone)
		cl.awaitStatus(http.MethodPost, first.callers+path, key, lasting, http.StatusOK)
		for cl.stateWithKey(second, path, key) != scheduler.Cancelled {
			cl.c.Assert(cl.fleet.Starts(), qt.Equals, 0)
			time.Sleep(10 * time.Millisecond)
		}
	}
}
