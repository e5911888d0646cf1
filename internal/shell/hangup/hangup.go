package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// held receives the signal until the program says what it wants with it.
var held = hold()

func hold() chan os.Signal {
	c := make(chan os.Signal, 1)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(c, syscall.SIGHUP)
	}
	return c
}

// Drop forgets a signal that has come. It is for programs that have asked for the signal
// themselves and read their settings afterwards.
func Drop() { signal.Stop(held) }

// Release gives the signal its former effect, also if it has come meanwhile; the error
// is that of sending it again.
func Release() error {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-held:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}
