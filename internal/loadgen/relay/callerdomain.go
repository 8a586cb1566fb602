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

// DomainOfRouter returns a DomainFunc that identifies the router behind a local
// connection by the socket's inode in /proc.
func DomainOfRouter(f *fleet.Fleet) DomainFunc {
	return func(conn net.Conn) string {
		remote, remoteOK := conn.RemoteAddr().(*net.TCPAddr)
		local, localOK := conn.LocalAddr().(*net.TCPAddr)
		if !remoteOK || !localOK {
			return ""
		}
		inode := socketInode(remote.Port, local.Port)
		for _, r := range f.Routers {
			if inode != "" && processHasSocket(r.PIDFile, inode) {
				return r.Domain
			}
		}
		return ""
	}
}

// maxTableReads is the number of times that /proc/net/tcp is read before a socket
// counts as missing. The kernel doesn't return the table atomically, so a read can
// miss a socket while other sockets are opened and closed.
const maxTableReads = 10

// socketInode returns the inode of the established TCP socket between a local and
// a remote port, or an empty string. Both ports are needed because one port may
// belong to several connections.
func socketInode(localPort, remotePort int) string {
	for range maxTableReads {
		if inode := findSocketInode(localPort, remotePort); inode != "" {
			return inode
		}
	}
	return ""
}

// findSocketInode reads /proc/net/tcp once and returns the inode of the socket, or
// an empty string.
func findSocketInode(localPort, remotePort int) string {
	const localField, remoteField, stateField, inodeField = 1, 2, 3, 9
	const established = "01"
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	localSuffix, remoteSuffix := fmt.Sprintf(":%04X", localPort), fmt.Sprintf(":%04X", remotePort)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[stateField] == established &&
			strings.HasSuffix(fields[localField], localSuffix) && strings.HasSuffix(fields[remoteField], remoteSuffix) {
			return fields[inodeField]
		}
	}
	return ""
}

// processHasSocket reports whether the process whose id is in pidFile has the socket
// with the given inode open.
func processHasSocket(pidFile, inode string) bool {
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
