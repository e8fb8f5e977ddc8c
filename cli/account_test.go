package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// One of two logs was rotated away: the command reports the missing file and uses the other. It
// fails if no log can be read, since an empty account would look like an hour without requests.
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
