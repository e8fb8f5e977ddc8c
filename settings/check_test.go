package settings

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// An operator writes a file with several slips. A daemon that named only the
// first, or ran on a default in place of a misspelt key, would cost a start for
// each slip, or serve for weeks without the limit that was meant.
func TestCheckReportsEveryFault(t *testing.T) {
	programs := map[string]Program{"entry": EntryProgram, "endpoint": EndpointProgram, "any": AnyProgram}
	datadriven.RunTest(t, "testdata/check", func(_ *testing.T, d *datadriven.TestData) string {
		_, faults := Check([]byte(d.Input), programs[d.Cmd])
		var b strings.Builder
		for _, f := range faults {
			b.WriteString(strings.TrimPrefix(f.String(), ":") + "\n")
		}
		if len(faults) == 0 {
			return "no faults\n"
		}
		return b.String()
	})
}

// A setting that is read but stands in no table has no check and no page.
func TestTableHasEveryOption(t *testing.T) {
	is := is.New(t)
	var inTable []string
	for _, o := range Options {
		inTable = append(inTable, o.Key)
		is.True(o.Doc != "" && o.Allowed != "")
	}
	keys := Keys()
	slices.Sort(keys)
	slices.Sort(inTable)
	is.Equal(inTable, keys)
}

func TestOperatorsPageShowsTheTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATORS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), Markdown())) // `parsleydeal check --options` prints the table
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte("vm = \"a\"\n[session.keys]\nk = 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, faults := Check(data, EntryProgram)
		if len(faults) == 0 {
			if _, err := Parse(data); err != nil {
				t.Fatalf("no faults, yet it does not parse: %v", err)
			}
		}
	})
}

// A file still switches a decision off after a trial. The entry refuses it unless the
// section says that this is meant, and refuses names that it does not know.
func TestStrategiesRequireTrial(t *testing.T) {
	const entry = "vm=\"a\"\nzone=\"z\"\nregion=\"r\"\npeer=\"127.0.0.1:1\"\n[entry]\ncallers=\"127.0.0.1:2\"\n[direct]\nstore=\"127.0.0.1:3\"\nready=\"127.0.0.1:4\"\n[decisions]\n"
	for text, faults := range map[string]int{
		"ways.told-work = \"off\"": 1, "trial = true\nways.told-work = \"off\"": 0, "trial = true\nways.told = \"off\"": 1, "trial = true": 0, "ways = {}": 0,
		"trial = true\nways.told-work = \"of\"": 1, "trial = true\nways.told-work = \"off\"\nways.told-work = \"on\"": 1, "[experiments]\nenabled = true": 1,
	} {
		if _, found := Check([]byte(entry+text), DirectProgram); len(found) != faults {
			t.Errorf("%q has faults %v, want %d", text, found, faults)
		}
	}
}
