package standin

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// WaitStopped waits until all threads of a process have stopped after a SIGSTOP. On a busy machine some run on for a
// while after the signal.
func WaitStopped(ctx context.Context, pid int) (err error) {
	for clock.Pause(ctx, 1) {
		if isStopped(pid) {
			return nil
		}
	}
	return fmt.Errorf("standin: process %d has not stopped", pid)
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, file := range files {
		data, err := os.ReadFile(file)
		_, state, _ := strings.Cut(string(data), ") ")
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(files) > 0
}
