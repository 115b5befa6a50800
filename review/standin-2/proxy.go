package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections, and says nothing while it is silent.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	silent   bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// awaitOpen blocks while the proxy is silent.
func (p *proxy) awaitOpen() {
	for {
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if !silent {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *proxy) serve(conn net.Conn) {
	p.awaitOpen()
	other, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	copyTo := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.awaitOpen()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					_ = conn.Close()
				}
				break
			}
		}
		_ = to.Close()
	}
	go copyTo(other, conn)
	copyTo(conn, other)
}
