package upstream

import "calicohinge/policy"

// Stats is the state of a Pool at one moment.
type Stats struct {
	Open    int // connections to all servers, including those being opened
	Servers map[policy.ServerID]ServerStats
}

// ServerStats is the state of one server of a Pool at one moment.
type ServerStats struct {
	Address string
	Idle    int // number of idle connections
}

// Idle returns the number of idle connections to all servers.
func (s Stats) Idle() int {
	count := 0
	for _, server := range s.Servers {
		count += server.Idle
	}
	return count
}

// Stats returns the current state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Open: p.open, Servers: make(map[policy.ServerID]ServerStats, len(p.servers))}
	for id, s := range p.servers {
		stats.Servers[id] = ServerStats{Address: s.address, Idle: len(s.idle)}
	}
	return stats
}
