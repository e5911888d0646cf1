package gate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes after which a connection is closed.
const keepAliveProbes = 2

// silenceDialer returns a dialer of connections that fail after d without any
// acknowledgement from the other side.
func silenceDialer(d time.Duration) net.Dialer {
	period := max(d/(keepAliveProbes+1), time.Second)
	return net.Dialer{
		Timeout: min(dialTimeout, d),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: period, Interval: period, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
