package peer

import (
	"fmt"
	"strings"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

// yamuxWindow is the receive window of a stream in bytes, the smallest that
// yamux allows.
const yamuxWindow = 256 << 10

// sessionLogger forwards yamux's log lines to klog.
type sessionLogger struct{ id core.RouterID }

func (s sessionLogger) log(line string) {
	klog.V(2).InfoS("peer: yamux session log", "router", s.id, "line", strings.TrimSpace(line))
}

// Print implements yamux.Logger.
func (s sessionLogger) Print(v ...interface{}) { s.log(fmt.Sprint(v...)) }

// Printf implements yamux.Logger.
func (s sessionLogger) Printf(format string, v ...interface{}) { s.log(fmt.Sprintf(format, v...)) }

// Println implements yamux.Logger.
func (s sessionLogger) Println(v ...interface{}) { s.log(fmt.Sprintln(v...)) }
