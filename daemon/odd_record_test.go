package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// oddValues returns values that another writer may leave in any stream of the store, by name.
func oddValues() map[string]string {
	registration := func(field, value string) string {
		fields := map[string]string{"service": `"app"`, "address": `"127.0.0.1:1"`, "zone": `"a"`, "version": `"v1"`, "slots": "4", "state": `"ready"`, "coldRemainingMs": "0", "sequence": "1", "born": "1"}
		fields[field] = value
		var all []string
		for name, v := range fields {
			all = append(all, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(all, ",") + "}"
	}
	deep := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	digits := strings.Repeat("9", 10_000)
	odd := map[string]string{
		"deep": deep(1000), "very-deep": deep(12_000), "unclosed": strings.Repeat(`{"a":`, 12_000), "digits": digits,
		"deep-version": `{"version":` + deep(12_000) + `}`, "large-version": `{"version":1e400}`, "long-version": `{"version":` + digits + `}`,
		"deep-routes":   `{"version":1000000,"routes":` + deep(12_000) + `}`,
		"large-timeout": `{"version":1000000,"routes":[{"name":"r","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1e300,"service":"app"}]}`,
		"large-order":   `{"service":"app","target":"v2","durationS":1e400}`, "deep-state": `{"state":` + deep(12_000) + `}`,
	}
	for field, values := range map[string][]string{
		"address":         {`"127.0.0.1:-1"`, `"127.0.0.1:70000"`, `"127.0.0.1:99999999999999999999"`, `"127.0.0.1"`, "7", deep(12_000)},
		"slots":           {"1e300", "9223372036854775807", "99999999999999999999999999", "-1"},
		"coldRemainingMs": {"1e300", "1e400", "-1e300"},
		"sequence":        {"9223372036854775807", "1e400"},
		"born":            {"-9223372036854775808", "1e400", deep(12_000)},
	} {
		for i, v := range values {
			odd[fmt.Sprintf("%s-%d", field, i)] = registration(field, v)
		}
	}
	return odd
}

// putOdd leaves odd values under keys of all kinds in all streams, and as the configuration.
func (ts *testSite) putOdd(suffix string) {
	for name, v := range oddValues() {
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.status", "keyed.parsleydeal-entries", "keyed.parsleydeal-upgrades"} {
			for _, prefix := range []string{"", "rollout/", "evacuate/", "upgrade/"} {
				ts.store.Put(topic, prefix+name+suffix, []byte(v))
			}
		}
		ts.store.Put("keyed.op", "config", []byte(v))
	}
}

// Guards against entries that end, or no longer follow the store, because another writer left odd values in it: deeply
// nested, with numbers that are too large, or with ports out of range.
func TestOddValuesInTheStoreAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.putOdd("-early")
	ts.endpoint("i-1", "app", "v1", nil)
	ts.publish()
	entries := []*testEntry{ts.entry("entry-a"), ts.entry("entry-b")}
	ts.putOdd("-late")
	ts.endpoint("i-2", "app", "v1", nil)
	ts.keys = []string{"key-2"}
	ts.publish()
	newKey := func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }
	for _, e := range entries {
		ts.eventually(3*time.Second, "the configuration after the odd values is in force", func() bool { return e.send("GET", "/read/1", "", newKey).status == http.StatusOK })
		for range 5 {
			is.Equal(e.send("GET", "/read/1", "", newKey).status, http.StatusOK)
		}
	}
	entries = append(entries, ts.entry("entry-c"))
	for _, e := range entries {
		ts.eventually(3*time.Second, "the endpoint after the odd values is known", func() bool { return e.loop.View().Fleet().Find("i-2") != nil })
		is.Equal(e.send("GET", "/read/1", "", newKey).status, http.StatusOK)
		is.True(!strings.Contains(e.log.String(), "State of another entry cannot be used"))
	}
}
