// Package listen opens listeners, and limits the number of their connections.
package listen

import (
	"context"
	"fmt"
	"net"
	"strings"

	"github.com/tacktally/tacktally/internal/keepalive"
)

// TCP listens on a TCP address. The error names the setting that holds the address. A connection
// whose peer has disappeared is closed within keepalive.AcceptedDeadAfter.
func TCP(setting, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepalive.Config()}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s %s can't be listened on; free the address or choose another: %w", setting, address, err)
	}
	return keepalive.Listener(l), nil
}

// Advertised returns the address at which others reach a listener. If the port of advertise is
// 0, as in tests and with fakes, it returns the address of the listener.
func Advertised(advertise string, l net.Listener) string {
	if strings.HasSuffix(advertise, ":0") {
		return l.Addr().String()
	}
	return advertise
}
