package reserver

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstNetwork is the second byte of the lowest address that NewHost returns.
	firstNetwork = 10
	// networkCount is the number of values of the second byte.
	networkCount = 64
)

// hostCount counts the addresses that this process has taken.
var hostCount atomic.Uint32

// NewHost returns a loopback address without a port, another one on each of the first 255 calls. Other processes get other ones, unless
// their IDs differ by a multiple of 16,384, and no outgoing connection uses them. A process that a killed test left behind cannot take
// the servers of a later test for its own.
func NewHost() string {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(firstNetwork + pid>>8%networkCount), byte(pid), byte(hostCount.Add(1))}).String()
}
