package downstream

import "net"

// Listener returns a listener whose connections are admitted to the set and are of
// type *Conn. It closes connections for which there is no capacity. A set has one
// listener; closing it also ends an admission that waits.
func (cs *Conns) Listener(inner net.Listener) net.Listener {
	return admittingListener{Listener: inner, conns: cs}
}

type admittingListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := newConn(netConn, l.conns)
		if err == nil && l.conns.admit(c) {
			return c, nil
		}
		_ = netConn.Close() // nothing can be done about a failure
	}
}

// Close implements net.Listener.
func (l admittingListener) Close() error {
	l.conns.closeListenerOnce.Do(func() { close(l.conns.listenerClosed) })
	return l.Listener.Close()
}
