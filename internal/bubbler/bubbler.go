// Package bubbler runs tests in bubbles of testing/synctest. Only tests import it.
//
// With the race detector, all goroutines of a bubble share the race context in which channel timers run. A timer that
// has expired before a goroutine waits for it runs on that goroutine, so two processors can use the context at the same
// time, which crashes ThreadSanitizer (Go 1.26). So while a bubble runs, the process has a single processor.
package bubbler

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// limit counts the bubbles that run, and holds the number of processors to restore after the last one.
var limit struct {
	lock       sync.Mutex
	bubbles    int
	processors int
}

// Test runs a test in a bubble, see synctest.Test.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		hold()
		defer release()
	}
	synctest.Test(t, test)
}

func hold() {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	if limit.bubbles == 0 {
		limit.processors = runtime.GOMAXPROCS(1)
	}
	limit.bubbles++
}

func release() {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	limit.bubbles--
	if limit.bubbles == 0 {
		runtime.GOMAXPROCS(limit.processors)
	}
}
