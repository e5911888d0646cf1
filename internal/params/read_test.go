package params

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"
)

// valid is a file that every test changes at one place.
const valid = `[entry]
id = bul-a-e1
zone = bul-a
region = bulacan
[callers]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:8081
keyHashes = 0000000000000000000000000000000000000000000000000000000000000000
[peers]
listen = 127.0.0.1:8082
[platform]
url = http://127.0.0.1:9000
`

// expectFaults parses a file and compares the text of all its faults.
func expectFaults(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := Parse("e.ini", []byte(text))
	var got []string
	var faults Faults
	if errors.As(err, &faults) {
		got = strings.Split(faults.Error(), "\n")
	} else if err != nil {
		t.Fatalf("the error is no Faults: %v", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	const name = "1 to 63 of a-z, 0-9, '-' and '.', beginning with a letter or digit"
	for _, c := range []struct {
		name, old, with string
		want            []string
	}{
		{"valid", "", "", nil},
		{"missing key", "id = bul-a-e1\n", "", []string{"e.ini: [entry] id: is missing; accepted: " + name}},
		{"unknown key", "[peers]\n", "[peers]\nliste = 1\n", []string{
			`e.ini: [peers] liste = "1": unknown key; accepted: listen, advertise, tlsCert, tlsKey, tlsCA, seeds`,
		}},
		{"unknown section", "[peers]\n", "[pears]\nlisten = 1\n[peers]\n", []string{
			"e.ini: [pears]: unknown section; accepted: entry, callers, operators, peers, platform, link, control, policy, requests, log",
		}},
		{"key twice", "[peers]\n", "[peers]\nlisten = 127.0.0.1:8083\n", []string{
			`e.ini: [peers] listen = "127.0.0.1:8083 and 127.0.0.1:8082": given twice; accepted: one value`,
		}},
		{"bad name", "bul-a-e1", "Bul A", []string{`e.ini: [entry] id = "Bul A": not a name; accepted: ` + name}},
		{"host name", "127.0.0.1:8080", "localhost:8080", []string{
			`e.ini: [callers] listen = "localhost:8080": ParseAddr("localhost"): unable to parse IP; accepted: an IP address and port such as 127.0.0.1:8080`,
		}},
		{"wrong unit", "url = ", "timeout = 2\nurl = ", []string{
			`e.ini: [platform] timeout = "2": time: missing unit in duration "2"; accepted: a time with its unit such as 500ms, 2s or 5m, from 10ms to 1m0s`,
		}},
		{"out of range", "url = ", "storeLoads = 0\nurl = ", []string{
			`e.ini: [platform] storeLoads = "0": out of range; accepted: a whole number from 1 to 1000`,
		}},
		{"store's region", "url = ", "storeRegion = The Store\nurl = ", []string{
			`e.ini: [platform] storeRegion = "The Store": not a name; accepted: ` + name,
		}},
		{"link without a rate", "[peers]", "[link]\nbitsPerSecond = 30\nshare = 2\n[peers]", []string{
			`e.ini: [link] bitsPerSecond = "30": out of range; accepted: a whole number from 100000 to 1000000000000`,
			`e.ini: [link] share = "2": out of range; accepted: a number from 0.01 to 1`,
		}},
		{"plain key", "0000000000000000000000000000000000000000000000000000000000000000", "secret", []string{
			`e.ini: [operators] keyHashes = "secret": "secret" is no such sum; accepted: ` + hashAccepts,
		}},
		{"same port", "8082", "8081", []string{
			`e.ini: [peers] listen = "127.0.0.1:8081": is also the address of [operators]; accepted: a different port for each listener`,
		}},
		{"lease too short", "url = ", "leaseTTL = 3s\nurl = ", []string{
			`e.ini: [platform] leaseTTL = "3s": leaves no time to renew after one lost answer; accepted: at least 3 times timeout, 6s`,
		}},
		{"deadlines cross", "[peers]", "[requests]\ndeadline = 2h\n[peers]", []string{
			`e.ini: [requests] maxDeadline = "1h0m0s": is shorter than deadline or deferrableDeadline; accepted: at least 2h0m0s`,
		}},
		{"no weight", "[peers]", "[policy]\ncoldStartWeight = 0\nidleHoursWeight = 0\n[peers]", []string{
			`e.ini: [policy] coldStartWeight = "0": both weights are 0; accepted: one of coldStartWeight and idleHoursWeight above 0`,
		}},
		{"half a pair", "[peers]\n", "[peers]\ntlsCert = nowhere.pem\n", []string{
			`e.ini: [peers] tlsCert = "nowhere.pem": tlsCert and tlsKey belong together; accepted: both or neither`,
			`e.ini: [peers] tlsCA: is missing; TLS between entries is mutual; accepted: the path of a readable PEM file`,
			`e.ini: [peers] tlsCert = "nowhere.pem": no such file or directory; accepted: the path of a readable PEM file`,
		}},
		{"unreachable peers", "127.0.0.1:8082", "0.0.0.0:8082", []string{
			`e.ini: [peers] advertise: is missing, and listen names no address that peers can use; accepted: an IP address and port such as 127.0.0.1:8080`,
		}},
		{"all at once", "[peers]\nlisten = 127.0.0.1:8082\n[platform]\nurl = http://127.0.0.1:9000\n", "[log]\nlevel = loud\n[platform]\nurl = ftp://x\n", []string{
			`e.ini: [peers] listen: is missing; accepted: an IP address and port such as 127.0.0.1:8080`,
			`e.ini: [platform] url = "ftp://x": scheme is "ftp"; accepted: an http or https URL with an IP address, such as http://127.0.0.1:9000`,
			`e.ini: [log] level = "loud": not a choice; accepted: one of debug, info, warn, error`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(valid, c.old) {
				t.Fatalf("%q does not stand in the file", c.old)
			}
			expectFaults(t, strings.Replace(valid, c.old, c.with, 1), c.want...)
		})
	}
}

func TestDefaults(t *testing.T) {
	s, err := Parse("e.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	type defaults struct {
		timeout, lease, deadline time.Duration
		peers                    string
		shards                   int
	}
	got := defaults{s.Platform.Timeout, s.Platform.LeaseTTL, s.Requests.Deadline, s.Peers.Advertise.String(), s.Control.Shards}
	want := defaults{2 * time.Second, 10 * time.Second, 30 * time.Second, "127.0.0.1:8082", 2}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(defaults{})); diff != "" {
		t.Errorf("defaults (-want +got):\n%s", diff)
	}
}

func TestCheckBind(t *testing.T) {
	s, err := Parse("e.ini", []byte(strings.Replace(valid, "127.0.0.1:8080", "192.0.2.1:8080", 1)))
	if err != nil {
		t.Fatal(err)
	}
	err = s.CheckBind(context.Background(), "e.ini")
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error %v, want faults", err)
	}
	want := `e.ini: [callers] listen = "192.0.2.1:8080": cannot be bound: cannot assign requested address; accepted: an address of this machine`
	if diff := cmp.Diff(want, faults.Error()); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := Read("nowhere.ini"); !trace.IsNotFound(err) {
		t.Errorf("a missing file: %v", err)
	}
}
