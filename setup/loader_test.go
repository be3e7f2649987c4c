package setup_test

import (
	"os"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/setup"
	"github.com/smartystreets/goconvey/convey"
)

const valid = `[node]
vm = a
availability_zone = z
peer_address = 10.0.0.5:7400
[store]
url = http://10.0.0.2:2380
[caller]
address = 10.0.0.5:7400
[upstream]
address = 127.0.0.1:7401
[admin]
address = 10.0.0.5:7402
`

// loaderOf returns a Loader for which "node.ini" contains text and no other file exists.
func loaderOf(text string) *setup.Loader {
	return setup.New(setup.WithReader(func(path string) ([]byte, error) {
		if path == "node.ini" {
			return []byte(text), nil
		}
		return nil, os.ErrNotExist
	}))
}

func TestFaults(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	rows := []struct {
		name, old, new string
		want           string
	}{
		{"unknown section", "[store]", "[stor]", `node.ini:5: [stor] there is no section "stor"; did you mean "store"?`},
		{"unknown key", "vm = a", "vm = a\nvmm = b", `node.ini:3: [node] vmm: there is no key "vmm"; did you mean "vm"?`},
		{"duplicate key", "vm = a", "vm = a\nvm = a", "node.ini:3: [node] vm: the key is a duplicate of line 2"},
		{"duplicate in a repeated section", "[store]", "[node]\nvm = b\n[store]", "node.ini:6: [node] vm: the key is a duplicate of line 2"},
		{"bad number", "[store]", "[limits]\nqueue = many\n[store]", `[limits] queue: "many" is not a whole number`},
		{"bad unit", "[store]", "[store]\ntimeout_ms = 5s", "the unit expected is ms and isn't written: write 5000"},
		{"out of range", "[store]", "[limits]\nretries = 11\n[store]", "[limits] retries: 11 is out of range; write a number from 0 to 10"},
		{"missing address", "[upstream]\naddress = 127.0.0.1:7401\n", "", "node.ini: [upstream] address: the required key is missing"},
		{"not host:port", "10.0.0.5:7402", "10.0.0.5", `node.ini:12: [admin] address: "10.0.0.5" is not host:port`},
		{"peer host unspecified", "peer_address = 10.0.0.5", "peer_address = 0.0.0.0", "peers can't reach"},
		{"not loopback", "127.0.0.1:7401", "10.0.0.5:7401", "node.ini:10: [upstream] address:"},
		{"conflicting ports", "10.0.0.5:7402", ":7401", "node.ini:12: [admin] address: :7401 clashes with [upstream]"},
		{"certificate without key", "[caller]", "[caller]\ncertificate_file = c.pem", "a certificate without a private key"},
		{"key without certificate", "[caller]", "[caller]\nprivate_key_file = k.pem", "a private key without a certificate"},
		{"unreadable certificate", "[caller]", "[caller]\ncertificate_file = c.pem", "certificate_file: the file can't be read"},
		{"bad URL", "http://", "ftp://", "node.ini:6: [store] url:"},
		{"bad hash", "[admin]", "[admin]\ntoken_hashes = " + hash + ", abc", "an item is not a SHA-256 in hex"},
		{"bad level", "[node]", "[log]\nlevel = wran\n[node]", `did you mean "warn"?`},
		{"bad control", "[store]", "[limits]\ncontrol = fixd\n[store]", `did you mean "fixed"? the controls are full, fixed, none`},
		{"bad feature", "[store]", "[limits]\noff = own_time, fairr\n[store]", `"fairr" is not a part of the control; did you mean "fair"?`},
		{"malformed line", "vm = a", "vm = a\nnonsense", "node.ini:3: [node] the line is not key = value"},
		{"unterminated quote", "vm = a", "vm = \"\"\"a", "node.ini:2: [node] vm: the quoted value has no end"},
		{"no section", "[node]", "vm = b\n[node]", "node.ini:1: vm: the key stands in no section"},
		{"not INI", "[store]", "[store", "the file is not INI"},
	}
	convey.Convey("Each kind of fault is reported with its line, key and remedy", t, func() {
		for _, r := range rows {
			convey.Convey(r.name, func() {
				convey.So(valid, convey.ShouldContainSubstring, r.old)
				_, err := loaderOf(strings.Replace(valid, r.old, r.new, 1)).Load("node.ini")
				convey.So(pomelo.IsKind(err, pomelo.KindBadSettings), convey.ShouldBeTrue)
				convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, r.want)
			})
		}
	})
}

func TestLoad(t *testing.T) {
	convey.Convey("A valid file loads with defaults, and the peers' UDP port may equal a TCP port", t, func() {
		s, err := loaderOf(valid).Load("node.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Node.VM, convey.ShouldEqual, "a")
		convey.So(s.Node.DrainGrace, convey.ShouldEqual, pomelo.Millis(1500))
		convey.So(s.Limits.BodyBytes, convey.ShouldEqual, 1048576)
		convey.So(s.Log.Level, convey.ShouldEqual, "info")
		convey.So(s.Limits.Control, convey.ShouldEqual, pomelo.ControlFull)
	})
	convey.Convey("The settings select the overload control and disable features", t, func() {
		s, err := loaderOf(valid + "[limits]\ncontrol = none\noff = own_time, Fair\n").Load("node.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Limits.Control, convey.ShouldEqual, pomelo.ControlNone)
		convey.So(s.Limits.Disabled, convey.ShouldResemble, []string{pomelo.FeatureSelfTime, pomelo.FeatureFairness})
	})
	convey.Convey("All faults are reported at once, one line each", t, func() {
		text := strings.Replace(valid, "vm = a", "vmm = a", 1) + "[log]\nlevel = inof\n"
		_, faults := loaderOf(text).Inspect("node.ini")
		convey.So(faults, convey.ShouldHaveLength, 3)
		convey.So(faults[2], convey.ShouldResemble, pomelo.SettingsFault{
			File: "node.ini", Section: "log", Key: "level", Line: 14,
			Message: `"inof" is not a log level`, Remedy: `did you mean "info"? the levels are debug, info, warn`,
		})
		_, err := loaderOf(text).Load("node.ini")
		convey.So(strings.Split(pomelo.FaultOf(err).Message, "\n"), convey.ShouldHaveLength, 3)
	})
	convey.Convey("An unreadable file is reported as a settings fault", t, func() {
		_, err := loaderOf("").Load("other.ini")
		convey.So(pomelo.IsKind(err, pomelo.KindBadSettings), convey.ShouldBeTrue)
	})
}

func FuzzLoad(f *testing.F) {
	f.Add(valid)
	f.Add("[node]\nvm = \"\"\"a\n[store\n=\n-=1\n`k`=`v")
	f.Add("\ufeff[a.b]\nx=%(x)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := loaderOf(text).Load("node.ini")
		if err != nil && !pomelo.IsKind(err, pomelo.KindBadSettings) {
			t.Fatalf("not a settings fault: %v", err)
		}
	})
}
