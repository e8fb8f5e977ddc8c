package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `  12.1 frontend-a Dec  3 02:00:01.250 INFO Attempt did not answer vm=frontend-a request=r-1 endpoint=i-7 result=failed status=0 error="endpoint-lost (unknown): no answer"
Dec  3 02:00:01.900 WARN Request failed vm=frontend-a request=r-1 route=chat sends=2 error="deadline-passed (unknown): time is up"
Dec  3 02:00:01.500 INFO Request answered vm=frontend-a request=r-10 route=chat sends=1
Dec  3 02:00:00.100 INFO Endpoint changed vm=frontend-b endpoint=i-7 leaving=true
`

// The lines of a request come from several processes and out of order. Lines of another request
// whose ID starts with the ID of this one must not be included.
func TestTimelineOfRequest(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(logs), "a.log", "r-1")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	var b strings.Builder
	is.NoErr(WriteTimeline(&b, lines))
	is.True(strings.HasPrefix(strings.TrimSpace(b.String()), "0s"))
	is.True(strings.Contains(b.String(), "650ms"))
	is.True(!strings.Contains(b.String(), "r-10"))
	is.Equal(Outcome(lines), "The request failed after 2 attempts: deadline-passed (unknown): time is up.")
}

// Guards against a request that the retry budget ended looking like one that its last endpoint failed.
func TestOutcomeNamesRetryBudget(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`Dec  3 02:00:01.900 WARN Request failed vm=a request=r-2 sends=3 retry=denied events=0 error="saturated (not-run): full"`), "a.log", "r-2")
	is.NoErr(err)
	is.Equal(Outcome(lines), "The request failed after 3 attempts: saturated (not-run): full; the retry budget allowed no further attempt.")
}

func TestTimelineOfEndpoint(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(logs), "a.log", "i-7")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(Outcome(lines), "")
}

func FuzzRead(f *testing.F) {
	f.Add(logs, "r-1")
	f.Fuzz(func(t *testing.T, text, subject string) {
		lines, err := Read(strings.NewReader(text), "x", subject)
		if err != nil {
			return
		}
		var b strings.Builder
		if err = WriteTimeline(&b, lines); err != nil {
			t.Fatal(err)
		}
		Outcome(lines)
	})
}
