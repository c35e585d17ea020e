package lab

import (
	"net"
	"sync"
	"time"
)

// DelayProxy starts a proxy to target and returns its address. What is written on one side comes out on the other side
// after the given time, in order.
func DelayProxy(target string, oneWay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				peer, err := net.Dial("tcp", target)
				if err != nil {
					_ = conn.Close()
					return
				}
				var ways sync.WaitGroup
				ways.Go(func() { delayedCopy(peer, conn, oneWay) })
				ways.Go(func() { delayedCopy(conn, peer, oneWay) })
				ways.Wait()
				_ = conn.Close()
				_ = peer.Close()
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// piece is what was read at once, and when it is due on the other side.
type piece struct {
	data []byte
	due  time.Time
}

// delayedCopy copies from one connection to another. The end of the stream is passed on as a half-close.
func delayedCopy(to, from net.Conn, oneWay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	for range pieces { // the other side does not take it any more
	}
	time.Sleep(oneWay)
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
