package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Of two logs one was rotated away. The account rests on the other and says so; with
// none left it fails, since an empty account would look like a quiet hour.
func TestAccountReportsUnreadableLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.log")
	line := "Feb 26 16:14:35.120 INFO Request answered route=chat took=2.5s first=900ms\n"
	is.NoErr(os.WriteFile(path, []byte(line), 0o600))
	gone := filepath.Join(dir, "gone.log")
	c := &accountCommand{}
	c.Args.Files = []string{path, gone}
	var out, warnings strings.Builder
	is.NoErr(c.account(&out, &warnings))
	is.True(strings.Contains(out.String(), "chat"))
	is.True(strings.Contains(warnings.String(), "gone.log"))
	c.Args.Files = []string{gone}
	is.True(c.account(&out, &warnings) != nil)
	is.NoErr(os.WriteFile(path, []byte("nothing of ours\n"), 0o600))
	c.Args.Files = []string{path}
	is.True(c.account(&out, &warnings) != nil)
}
