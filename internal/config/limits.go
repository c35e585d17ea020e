package config

import "syscall"

const (
	// defaultSockets applies if the file gives no number of sockets.
	defaultSockets = 1024
	// minSockets is the smallest number of sockets that suffices for clients and servers together.
	minSockets = 64
)

// Limits holds the resources that the process may use. In the configuration file, 0 means no limit for Cores and
// MemoryMB, and the default for Sockets.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// validate returns an error if a limit is negative.
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

// effectiveSockets returns the number of sockets to use: the configured number, or the default if that is 0, but
// no more than the process's limit of open files. With a larger number, the node could run out of file
// descriptors: it could then neither accept clients nor connect to discovery and servers, and would not evict idle
// clients to free sockets.
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
