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
func (s Stats) Idle() int {
	count := 0
	for _, server := range s.Servers {
		count += server.Idle
	}
	return count
}

// Stats returns the pool's present state.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Open: p.open, Servers: make(map[policy.ServerID]ServerStats, len(p.servers))}
	for id, s := range p.servers {
		stats.Servers[id] = ServerStats{Address: s.address, Idle: len(s.idle)}
	}
	return stats
}
