package recorder_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// bodies returns a body of each kind whose fields are set from text and n.
func bodies(text string, n uint32) []recorder.Body {
	offset := namer.Offset(n)
	value, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return []recorder.Body{
		recorder.ConfigChange{
			Key:      text,
			Base:     offset,
			Value:    value,
			Operator: text,
		},
		recorder.Membership{
			DataCentre: text,
			Epoch:      namer.Epoch(n),
			Cause:      text,
			Members: []recorder.Member{
				{
					Name:  text,
					Peers: text,
				},
			},
		},
		recorder.Job{
			ID:         text,
			Name:       text,
			Team:       text,
			Policy:     recorder.Gang,
			Tasks:      int(n),
			Size:       sizer.New(int64(n), int64(n), int64(n)),
			RunTime:    time.Duration(n),
			Urgent:     true,
			DataCentre: text,
			Operator:   text,
		},
		recorder.JobCancel{
			Job:      text,
			Operator: text,
		},
		recorder.JobProgress{
			Job:      text,
			Finished: []int{int(n)},
		},
		recorder.JobEnd{
			Job:     text,
			Outcome: recorder.Failed,
			Reason:  text,
		},
		recorder.Claim{
			Request: text,
			Entry:   text,
		},
		recorder.ClaimEnd{
			Request: text,
			Outcome: recorder.NotRun,
		},
		recorder.Audit{
			Who:      text,
			What:     text,
			From:     text,
			Base:     offset,
			Accepted: true,
			Reason:   text,
		},
		recorder.Snapshot{
			Set:     text,
			Part:    int(n),
			Parts:   int(n),
			Through: offset,
			State:   value,
		},
		recorder.Unknown{
			Name: "novelty",
			Raw:  value,
		},
	}
}

func TestRecordsComeBackAsTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Control characters and invalid UTF-8 would not be encoded in the same way
		// again, so text has none.
		text := rapid.StringMatching(`[ -;=?-~äöü]+`).Draw(t, "text")
		for _, body := range bodies(text, rapid.Uint32().Draw(t, "n")) {
			record := recorder.New(text, "writer", time.Unix(0, 0).UTC(), body)
			data, err := recorder.Encode(record)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := recorder.Decode(data)
			if err != nil || !reflect.DeepEqual(decoded, record) {
				t.Fatalf("%s: %v: %+v is not %+v", body.Kind(), err, decoded, record)
			}
		}
	})
}

func TestDecode(t *testing.T) {
	for data, want := range map[string]recorder.Kind{
		`{"version":1,"id":"a","kind":"novelty","body":{}}`:                    "novelty",
		`{"version":2,"id":"a","kind":"job","body":[]}`:                        recorder.KindJob,
		`{"version":1,"id":"a","kind":"jobCancel","body":{"job":"j","why":1}}`: recorder.KindJobCancel,
		`{`:                                    "",
		`{"version":1,"kind":"job","body":{}}`: "",
		`{"version":1,"id":"a","kind":"job","body":[]}`: "",
		`{"version":1,"id":"a","kind":"job"}`:           "",
	} {
		t.Run(data, func(t *testing.T) {
			record, err := recorder.Decode([]byte(data))
			if want == "" {
				qt.Assert(t, err, qt.ErrorIs, recorder.ErrEncoding)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, record.Body().Kind(), qt.Equals, want)
		})
	}
}

// FuzzDecode checks that every record that can be decoded can be encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	for _, body := range bodies("a", 1) {
		data, err := recorder.Encode(recorder.New("id", "writer", time.Unix(0, 0), body))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Add([]byte(`{"version":9,"id":"a","kind":"job"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := recorder.Decode(data)
		if err != nil {
			return
		}
		reencoded, err := recorder.Encode(record)
		qt.Assert(t, err, qt.IsNil)
		decoded, err := recorder.Decode(reencoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded.Body().Kind(), qt.Equals, record.Body().Kind())
	})
}
