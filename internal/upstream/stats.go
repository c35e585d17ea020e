package upstream

import "calicohinge/policy"

// Stats describes a pool at one moment.
type Stats struct {
	Open    int // connections to all servers, those being opened included
	Servers map[policy.ServerID]ServerStats
}

// ServerStats describes one server of a pool.
type ServerStats struct {
	Address string
	Idle    int // connections that wait for a request
}

// Idle counts the idle connections to all servers.
func (s Stats) Idle() (count int) {
	for _, server := range s.Servers {
		count += server.Idle
	}
	return count
}

// Stats returns the pool's present state.
func (u *Pool) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Open: u.open, Servers: make(map[policy.ServerID]ServerStats, len(u.servers))}
	for id, s := range u.servers {
		stats.Servers[id] = ServerStats{Address: s.addr, Idle: len(s.idle)}
	}
	return stats
}
