package main_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"mustardsaddle.example/mustardsaddle"
)

// endlessLinks are the answers of faulty gateways that accept a link.
func endlessLinks() []endlessForm {
	const binaryMessage, continuation, longLength = 2, 0, 127
	frame := func(opcode byte) string {
		head := []byte{opcode, longLength}
		return string(binary.BigEndian.AppendUint64(head, 1<<20)) + strings.Repeat("x", 1<<20)
	}
	return []endlessForm{
		{name: "message on a link", begin: frame(binaryMessage), repeat: func(int) string { return frame(continuation) }, version: http11, link: true},
		{name: "one byte on a link", begin: frame(binaryMessage), repeat: func(int) string { return "\x00\x01x" }, version: http11, link: true},
	}
}

// switchListener passes connections to one of two addresses.
type switchListener struct {
	net.Listener
	sound, faulty string

	mu       sync.Mutex
	switched bool
	conns    []net.Conn
}

// newSwitch returns a listener that passes connections to the sound address.
func newSwitch(t *testing.T, sound, faulty string) *switchListener {
	ln, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	s := &switchListener{Listener: ln, sound: sound, faulty: faulty}
	t.Cleanup(func() {
		_ = ln.Close()
		s.closeAll()
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.pass(conn)
		}
	}()
	return s
}

// toFaulty closes all connections, and passes further ones to the faulty address.
func (s *switchListener) toFaulty() {
	s.mu.Lock()
	s.switched = true
	s.mu.Unlock()
	s.closeAll()
}

func (s *switchListener) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// pass copies both ways between a connection and its target.
func (s *switchListener) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	address := s.sound
	if s.switched {
		address = s.faulty
	}
	s.conns = append(s.conns, conn)
	s.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		_, _ = io.Copy(target, conn)
		_ = target.Close()
	}()
	_, _ = io.Copy(conn, target)
}

// TestEndlessGatewaysLeaveMemory guards against other gateways that send without end, in answer to
// forwarded calls and on links.
func TestEndlessGatewaysLeaveMemory(t *testing.T) {
	s := newSystem(t, 2, 1)
	faulty := newEndlessListener(t)
	faulty.answersAll = true
	s.listMachine(faultyServer("unreachable", freeAddress(t)))
	for i := range 8 {
		s.listMachine(mustardsaddle.Machine{Name: fmt.Sprintf("gateway-9%d", i), Incarnation: 1, Zone: "zone-a", Address: faulty.Addr().String()})
	}
	s.submitRules(endlessRules)
	g := s.gateways[0]
	s.waitFor("the rules and the unreachable server", func() bool { return g.generationInForce() == 2 && len(g.knownServers()) == 3 })
	for _, form := range append(controlForms(), endlessLinks()...) {
		faulty.form.Store(&form)
		checkMemory(t, g, form.name, func(ctx context.Context) { form.call(ctx, g) })
	}
	if faulty.forwarded.Load() == 0 || faulty.links.Load() == 0 {
		t.Errorf("got %d forwarded calls and %d links at faulty gateways, want some of each", faulty.forwarded.Load(), faulty.links.Load())
	}
}

// TestEndlessStoreLeavesMemory guards against a store that sends without end.
func TestEndlessStoreLeavesMemory(t *testing.T) {
	faulty := newEndlessListener(t)
	faulty.answersAll = true
	s := newSystem(t, 2, 1)
	store := newSwitch(t, strings.TrimPrefix(s.platform, "http://"), faulty.Addr().String())
	s.platform = "http://" + store.Addr().String()
	g := s.addGateway(1)
	s.startGateway(g)
	s.waitFor("the second gateway", func() bool { return len(g.knownServers()) == 2 && g.ready() && get(g.url+"/rosters").ok() })
	store.toFaulty()
	for _, form := range controlForms() {
		faulty.form.Store(&form)
		checkMemory(t, g, form.name, func(ctx context.Context) { <-ctx.Done() })
	}
	if faulty.answers.Load() == 0 {
		t.Error("got no call at the faulty store, want some")
	}
}
