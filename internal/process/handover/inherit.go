package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// Listener makes a listener from a descriptor that this process has inherited. It checks the
// descriptor first, so that a wrong number is reported at the start instead of by failing
// clients. addr is the configured address for clients. The listener uses a copy of the
// descriptor; the descriptor itself is closed.
func Listener(fd int, addr string) (net.Listener, error) {
	fail := func(err error) (net.Listener, error) {
		return nil, &ListenerError{fd, err}
	}
	if err := listens(fd); err != nil {
		return fail(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return fail(errors.New("not a valid descriptor"))
	}
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return fail(err)
	}
	has, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		ln.Close()
		return fail(fmt.Errorf("it listens at %s, which is not a TCP address", ln.Addr()))
	}
	want, err := netip.ParseAddrPort(addr)
	if err != nil { // a host name, which is not resolved here
		return ln, nil
	}
	if has.Port() != want.Port() && want.Port() != 0 ||
		has.Addr().Unmap() != want.Addr().Unmap() && !has.Addr().IsUnspecified() {
		ln.Close()
		return fail(fmt.Errorf("it listens at %s, but the configuration says %s", has, want))
	}
	return ln, nil
}

// listens returns an error if a descriptor is not a listening TCP socket.
func listens(fd int) error {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	if errors.Is(err, syscall.EBADF) {
		return errors.New("not open; must be a listening TCP socket")
	}
	if err != nil || kind != syscall.SOCK_STREAM {
		return errors.New("not a TCP socket; must be a listening TCP socket")
	}
	on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || on == 0 {
		return errors.New("the socket is not listening")
	}
	return nil
}
