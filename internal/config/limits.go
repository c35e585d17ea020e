package config

import "syscall"

const (
	// defaultSockets is the number of sockets if the file gives none.
	defaultSockets = 1024
	// minSockets is the least number of sockets with which a node has enough for clients and servers.
	minSockets = 64
)

// Limits are the resources that the operators grant the process. Cores and MemoryMB of 0
// mean no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// validate rejects negative numbers.
func (l Limits) validate() error {
	const allowed = "at least 0"
	switch {
	case l.Cores < 0:
		return &Error{Key: "limits.cores", Value: l.Cores, Allowed: allowed}
	case l.MemoryMB < 0:
		return &Error{Key: "limits.memory_mb", Value: l.MemoryMB, Allowed: allowed}
	case l.Sockets < 0:
		return &Error{Key: "limits.sockets", Value: l.Sockets, Allowed: allowed}
	}
	return nil
}

// effectiveSockets returns the number of sockets to use: the operators' number or its default, but no more than
// the system's limit of open files. A node at that limit could not accept clients or connect to discovery and
// servers, and would not evict an idle client to free a socket.
func effectiveSockets(configured int) (int, error) {
	sockets := configured
	if sockets == 0 {
		sockets = defaultSockets
	}
	var openFileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &openFileLimit); err == nil {
		sockets = int(min(uint64(sockets), openFileLimit.Cur))
	}
	if sockets < minSockets {
		return 0, &Error{
			Key: "limits.sockets", Value: sockets, Allowed: "at least 64, as must be the limit of open files",
		}
	}
	return sockets, nil
}
