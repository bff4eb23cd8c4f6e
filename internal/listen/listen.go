// Package listen opens the listeners that settings name.
package listen

import (
	"context"
	"fmt"
	"net"
	"strings"

	"github.com/tacktally/tacktally/internal/keepalive"
)

// TCP opens a listener and names the setting when it can't. A connection whose other side
// is gone ends within keepalive.UnreadAfter.
func TCP(setting, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepalive.Config()}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s %s can't be listened on; free it or choose another: %w", setting, address, err)
	}
	return keepalive.Listener(l), nil
}

// Advertised returns the address under which others reach a listener. Port 0, which
// only stand-ins and tests use, becomes the port listened on.
func Advertised(advertise string, l net.Listener) string {
	if strings.HasSuffix(advertise, ":0") {
		return l.Addr().String()
	}
	return advertise
}
