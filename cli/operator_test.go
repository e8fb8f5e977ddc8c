package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/provider"
)

// startLocal starts a whole system with the demo's tables and stops it when the test ends.
func startLocal(t *testing.T, params engineParams, adjust ...func(l *local)) *local {
	t.Helper()
	ctx := context.Background()
	l := newLocal()
	l.setGoodQuality()
	for _, f := range adjust {
		f(l)
	}
	if err := l.start(ctx, params); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.stop)
	if err := l.publishDemo(ctx); err != nil {
		t.Fatal(err)
	}
	if err := l.waitReady(ctx, demoKey); err != nil {
		t.Fatal(err)
	}
	return l
}

func writeFile(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "change.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (l *local) publishFile(path, timeout string) (out string, err error) {
	var w bytes.Buffer
	c := &publishCommand{platformOptions: platformOptions{Platform: l.base}, Author: "ops", Timeout: timeout}
	c.Args.File = path
	err = c.publish(context.Background(), &w)
	return w.String(), err
}

// An operator publishes a change while one VM of the list is unreachable. The command must report
// that the change was accepted and on which VM it is not confirmed, with a distinct exit code.
func TestPublishReportsWhereAChangeIsNotInForce(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 2})
	out, err := l.publishFile(writeFile(t, "kind = \"patch\"\n[tables.zones.zone-b]\nstate = \"out\"\n"), "20s")
	is.NoErr(err)
	is.True(strings.Contains(out, "in force on 7 VMs, not on 0"))
	l.platform.SetVMs(append(l.vms, provider.VM{ID: "gone", Role: provider.EntryRole, Zone: "zone-b", Address: "127.0.0.1:1"}))
	out, err = l.publishFile(writeFile(t, "kind = \"patch\"\n[tables.zones.zone-b]\nstate = \"in\"\n"), "2s")
	is.Equal(exitCode(err), ExitUncertain)
	is.True(strings.Contains(out, "accepted as revision 2"))
	is.True(strings.Contains(out, "gone in zone-b: no answer"))
}

// Two operators start from the same output of the command tables and publish their edits one after
// the other. The second file would undo the first change. It must be rejected, as its base is no
// longer the current revision.
func TestPublishRejectsEditOfOutdatedTables(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 2})
	var printed bytes.Buffer
	c := &tablesCommand{platformOptions: platformOptions{Platform: l.base}, Verdicts: 5}
	is.NoErr(c.print(t.Context(), &printed))
	is.True(strings.Contains(printed.String(), `# revision 0 accepted: change "demo-1" by "demo"`))
	first := writeFile(t, strings.Replace(printed.String(), "fee = 250", "fee = 300", 1))
	second := writeFile(t, strings.Replace(printed.String(), "fee = 250", "fee = 275", 1))
	_, err := l.publishFile(first, "20s")
	is.NoErr(err)
	_, err = l.publishFile(second, "20s")
	is.Equal(exitCode(err), ExitRejected)
}

func TestStatusShowsEveryVM(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 2})
	var out bytes.Buffer
	c := &statusCommand{platformOptions: platformOptions{Platform: l.base}}
	is.NoErr(c.print(t.Context(), &out))
	is.Equal(strings.Count(out.String(), "\n"), 8) // a header and seven VMs
	is.Equal(strings.Count(out.String(), " yes "), 7)
	is.Equal(strings.Count(out.String(), "0/"), 5) // the five endpoints report a window size
}

func TestCheckReportsFileLineAndKeyOfTables(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "kind = \"whole\"\n[tables.pools.small]\ncold-window = 2\nfull-window = 1\nversions = [\"x@1\"]\n")
	err := (&checkCommand{Tables: []string{path}}).check()
	is.Equal(exitCode(err), ExitUsage)
	is.True(strings.Contains(err.Error(), path+":4: pools.small.full-window: is 1"))
	is.True(strings.Contains(err.Error(), path+`:5: pools.small.versions: no version "x@1"`))
	err = (&checkCommand{Tables: []string{writeFile(t, "kind = \"whole\"\n[tables.pools.small]\ncold-windw = 2\n")}}).check()
	is.True(strings.Contains(err.Error(), ":3: tables.pools.small.cold-windw: is not known"))
	err = (&checkCommand{Tables: []string{writeFile(t, "kind = \"whole\"\n[tables.pools.small]\ncold-window = \"2\"\n")}}).check()
	is.True(strings.Contains(err.Error(), ":3: tables.pools.small.cold-window"))
}

func TestCheckComparesSettingsWithTables(t *testing.T) {
	is := is.New(t)
	tables := writeFile(t, "kind = \"whole\"\n[tables.pools.records]\ncold-window = 1\nfull-window = 1\n")
	settings := writeFile(t, `vm = "e"
zone = "a"
region = "r"
peer = "10.0.0.1:7000"
platform = "http://10.0.0.9:7000"
[endpoint]
pool = "records"
engine = "http://127.0.0.1:9000"
`)
	err := (&checkCommand{Tables: []string{tables}, Settings: []string{settings}}).check()
	is.True(strings.Contains(err.Error(), `endpoint.plain: is false, yet pool "records" serves no versions`))
}

func TestEveryCommandHasHelp(t *testing.T) {
	is := is.New(t)
	p, err := newOperatorParser()
	is.NoErr(err)
	for _, c := range p.Commands() {
		is.Equal(Operator([]string{c.Name, "--help"}), ExitOK)
	}
	is.Equal(Operator([]string{"publish"}), ExitUsage)
	is.Equal(Operator([]string{"publish", "--platform", "http://127.0.0.1:1", "no-such-file"}), ExitUsage)
}
