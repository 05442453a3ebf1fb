package vm

import (
	"fmt"
	"net"
	"net/netip"
)

// udpDatagrams sends and receives heartbeats over UDP.
type udpDatagrams struct{ conn *net.UDPConn }

func listenUDP(address string) (*udpDatagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("heartbeat address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	return &udpDatagrams{conn: conn}, nil
}

// Send implements fleet.Datagrams.
func (d *udpDatagrams) Send(address string, payload []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteToUDPAddrPort(payload, to)
	return err
}

// Receive implements fleet.Datagrams.
func (d *udpDatagrams) Receive(buffer []byte) (int, error) {
	n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
	return n, err
}

// Close closes the socket and makes Receive return an error.
func (d *udpDatagrams) Close() error { return d.conn.Close() }
