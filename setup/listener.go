package setup

import (
	"fmt"
	"net"

	"github.com/pomeloworks/pomelo"
)

// listener is one TCP listener of the settings. The peers' listener is UDP, so its port can't conflict with them.
type listener struct {
	section string
	address string
}

func listenersOf(s pomelo.Settings) []listener {
	return []listener{
		{"caller", s.Caller.Address},
		{"upstream", s.Upstream.Address},
		{"admin", s.Admin.Address},
	}
}

// conflicts reports whether two listeners can't both be opened; port 0 stands for any free port and never conflicts.
func conflicts(a, b listener) bool {
	hostA, portA, errA := net.SplitHostPort(a.address)
	hostB, portB, errB := net.SplitHostPort(b.address)
	if errA != nil || errB != nil || portA != portB || portA == "0" {
		return false
	}
	return isAnyHost(hostA) || isAnyHost(hostB) || sameHost(hostA, hostB)
}

func isAnyHost(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}

func sameHost(a, b string) bool {
	if a == "localhost" {
		a = "127.0.0.1"
	}
	if b == "localhost" {
		b = "127.0.0.1"
	}
	return a == b
}

func (x *inspection) checkListeners() {
	all := listenersOf(x.settings)
	for i, a := range all {
		for _, b := range all[i+1:] {
			if !conflicts(a, b) {
				continue
			}
			x.addKey(b.section, "address", problem{
				fmt.Sprintf("%s clashes with [%s] address %s", b.address, a.section, a.address),
				"give each listener a port of its own",
			})
		}
	}
}
