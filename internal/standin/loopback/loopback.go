// Package loopback hands out addresses for the processes and stand-ins of tests that are stopped and started again at the
// same address, so that nobody else listens there in between.
//
// Usage:
//
//	address, err := loopback.FreeAddress()
//	listener, err := net.Listen("tcp", address)
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// Each process uses one of networkCount /16 loopback networks, from 127.firstNetwork.0.0, by its process ID. Concurrent
	// processes with the same network start at different ports.
	firstNetwork = 10
	networkCount = 200
	hostsPerByte = 250
	// The ports from lowestPort on lie below Linux's ephemeral range (ip_local_port_range): an ephemeral port could be
	// taken by a program that listens on all addresses.
	lowestPort = 12000
	portCount  = 20000
	// portTries is how many ports are tried, since other programs may use some of them.
	portTries = 100
)

// hostCount counts the hosts that this process has handed out.
var hostCount atomic.Int64

// portCounter makes the addresses of one host differ.
var portCounter atomic.Int64

// Host returns a loopback host that no other call returns, in this process or a concurrent one of another network.
func Host() string {
	number := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networkCount, number/hostsPerByte, number%hostsPerByte+1)
}

// FreeAddress returns a free address on a host of its own, so that no other test or outgoing connection takes the port.
func FreeAddress() (string, error) { return FreeAddressAt(Host()) }

// FreeAddressAt returns a free address on a host that Host returned, which differs from those of earlier calls.
func FreeAddressAt(host string) (string, error) {
	var failure error
	first := os.Getpid()/networkCount + int(portCounter.Add(1))
	for try := range portTries {
		port := lowestPort + (first+try)%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			failure = err
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", errors.Wrapf(failure, "none of %d ports of %s is free", portTries, host)
}
