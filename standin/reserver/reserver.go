package reserver

import (
	"net"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/juju/errors"
)

// Reservation is a port that the kernel gives to no other socket until the reservation is released.
//
// It holds a socket that is bound with SO_REUSEADDR and does not listen. Any process may still listen on the port by
// its number, at once and again after a restart, since listeners of Go set SO_REUSEADDR too. A port that is merely
// found free can be given to a listener on port 0 or to an outgoing connection before its process listens.
type Reservation struct {
	socket  int
	address string
}

// Reserve reserves a port on a loopback address such as 127.0.0.1.
func Reserve(host string) (*Reservation, error) {
	address, err := netip.ParseAddr(host)
	if err != nil || !address.Is4() {
		return nil, errors.NotValidf("IPv4 address %q", host)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(err, "opening a socket")
	}
	port, err := bind(socket, address)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, errors.Annotatef(err, "reserving a port on %s", host)
	}
	return &Reservation{socket: socket, address: net.JoinHostPort(host, strconv.Itoa(port))}, nil
}

// bind binds a socket to a port that the kernel chooses, and returns the port.
func bind(socket int, address netip.Addr) (int, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, errors.Trace(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: address.As4()}); err != nil {
		return 0, errors.Trace(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, errors.Trace(err)
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return 0, errors.Errorf("bound to an address of type %T", name)
	}
	return bound.Port, nil
}

// Address returns the host and the reserved port.
func (reservation *Reservation) Address() string { return reservation.address }

// Release gives the port up. Call it once.
func (reservation *Reservation) Release() error {
	return errors.Trace(syscall.Close(reservation.socket))
}
