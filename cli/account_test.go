package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// If one of several logs is missing, for example because it was rotated away, the command reports
// the file and summarises the others. If no log can be read it must fail: an empty summary would
// look like a period without requests.
func TestAccountReportsUnreadableLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.log")
	line := "Feb 26 16:14:35.120 INFO Request answered route=chat took=2.5s first=900ms\n"
	is.NoErr(os.WriteFile(path, []byte(line), 0o600))
	missing := filepath.Join(dir, "gone.log")
	c := &accountCommand{}
	c.Args.Files = []string{path, missing}
	var out, warnings strings.Builder
	is.NoErr(c.account(&out, &warnings))
	is.True(strings.Contains(out.String(), "chat"))
	is.True(strings.Contains(warnings.String(), "gone.log"))
	c.Args.Files = []string{missing}
	is.True(c.account(&out, &warnings) != nil)
	is.NoErr(os.WriteFile(path, []byte("nothing of ours\n"), 0o600))
	c.Args.Files = []string{path}
	is.True(c.account(&out, &warnings) != nil)
}
