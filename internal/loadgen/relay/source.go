package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

// DomainOfRouter finds the router behind a connection on this machine by its
// socket in /proc and returns its failure domain.
func DomainOfRouter(f *fleet.Fleet) Domain {
	return func(conn net.Conn) string {
		addr, ok := conn.RemoteAddr().(*net.TCPAddr)
		if !ok {
			return ""
		}
		inode := socketInode(addr.Port)
		for _, router := range f.Routers {
			if inode != "" && holds(router.PIDFile, inode) {
				return router.Domain
			}
		}
		return ""
	}
}

// socketInode is the inode of the established TCP socket with a local port.
func socketInode(port int) string {
	const addressField, stateField, inodeField = 1, 3, 9
	const established = "01"
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	suffix := fmt.Sprintf(":%04X", port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[stateField] == established &&
			strings.HasSuffix(fields[addressField], suffix) {
			return fields[inodeField]
		}
	}
	return ""
}

// holds tells whether the process whose id is in a file has a socket open.
func holds(pidFile, inode string) bool {
	pid, err := os.ReadFile(pidFile)
	if err != nil {
		return false
	}
	directory := filepath.Join("/proc", strings.TrimSpace(string(pid)), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(directory, entry.Name()))
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
