package setup

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"
)

const sha256Bytes = 32

// problem describes an invalid value and how to correct it.
type problem struct {
	message string
	remedy  string
}

var logLevels = []string{"debug", "info", "warn"}

func checkText(descriptor, string) *problem {
	return nil
}

func checkNumber(d descriptor, value string) *problem {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return invalidNumber(d, value)
	}
	if n < d.minValue || n > d.maxValue {
		return &problem{
			fmt.Sprintf("%d is out of range", n),
			fmt.Sprintf("write a number from %d to %d (%s)", d.minValue, d.maxValue, d.unit),
		}
	}
	return nil
}

func invalidNumber(d descriptor, value string) *problem {
	p := &problem{
		fmt.Sprintf("%q is not a whole number", value),
		fmt.Sprintf("write a whole number such as %s; its unit is %s and isn't written", d.defaultValue, d.unit),
	}
	duration, err := time.ParseDuration(value)
	if d.unit == unitMillis && err == nil && duration >= 0 {
		p.remedy = fmt.Sprintf("the unit expected is ms and isn't written: write %d", duration.Milliseconds())
	}
	return p
}

func checkAddress(_ descriptor, value string) *problem {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return invalidAddress(value)
	}
	if _, err = strconv.ParseUint(port, 10, 16); err != nil {
		return invalidAddress(value)
	}
	return nil
}

func invalidAddress(value string) *problem {
	return &problem{
		fmt.Sprintf("%q is not host:port", value),
		"write an IP number and a port from 0 to 65535, such as 127.0.0.1:8080",
	}
}

// checkPeerAddress also requires an IP number, since peers dial the address without resolving it.
func checkPeerAddress(d descriptor, value string) *problem {
	if p := checkAddress(d, value); p != nil {
		return p
	}
	host, _, _ := net.SplitHostPort(value)
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return &problem{
			fmt.Sprintf("peers can't reach %q", value),
			"write the VM's own IP number and a port, such as 10.0.0.5:7400",
		}
	}
	return nil
}

func checkLoopback(d descriptor, value string) *problem {
	if p := checkAddress(d, value); p != nil {
		return p
	}
	host, _, _ := net.SplitHostPort(value)
	if isLoopback(host) {
		return nil
	}
	return &problem{
		fmt.Sprintf("%q is not a loopback address", value),
		"write a loopback address, such as 127.0.0.1:7401: only the upstream beside the node may reach it",
	}
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}

func checkURL(_ descriptor, value string) *problem {
	u, err := url.Parse(value)
	if err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https") {
		return nil
	}
	return &problem{
		fmt.Sprintf("%q is not an HTTP URL", value),
		"write the store's URL, such as http://10.0.0.2:2380",
	}
}

func checkHashes(_ descriptor, value string) *problem {
	for _, h := range splitList(value) {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != sha256Bytes {
			// The message doesn't quote the item, which may be a token pasted in place of its hash.
			return &problem{
				"an item is not a SHA-256 in hex",
				"write each token's SHA-256 as 64 hex digits, with commas between them",
			}
		}
	}
	return nil
}

func checkLevel(_ descriptor, value string) *problem {
	return checkOneOf(value, logLevels, "log level", "levels")
}
