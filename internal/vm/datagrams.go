package vm

import (
	"fmt"
	"net"
	"net/netip"
)

// datagrams carries heartbeats over UDP.
type datagrams struct{ conn *net.UDPConn }

func listenDatagrams(address string) (*datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	return &datagrams{conn: conn}, nil
}

// Send implements fleet.Datagrams.
func (d *datagrams) Send(address string, payload []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteToUDPAddrPort(payload, to)
	return err
}

// Receive implements fleet.Datagrams.
func (d *datagrams) Receive(buffer []byte) (int, error) {
	n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
	return n, err
}

// Close ends Receive.
func (d *datagrams) Close() error { return d.conn.Close() }
