package downstream

import "net"

// Listener returns a listener that admits what inner accepts.
func (cs *Conns) Listener(inner net.Listener) net.Listener { return admittingListener{inner, cs} }

// admittingListener counts what it accepts.
type admittingListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// Close implements net.Listener.
func (l admittingListener) Close() error {
	l.conns.closeListenerOnce.Do(func() { close(l.conns.listenerClosed) })
	return l.Listener.Close()
}
