package shell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStartAccount guards against a time to full use that counts the requests of a former
// incarnation or those of targets that are not healthy, and against sends that are lost,
// counted twice, or counted for the target that a request went to afterwards.
func TestStartAccount(t *testing.T) {
	origin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var b strings.Builder
	write := func(at int, message, fields string) {
		fmt.Fprintf(&b, `{"time":%q,%s,"message":%q}`+"\n",
			origin.Add(time.Duration(at)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"), fields, message)
	}
	requests := 0
	// ended writes the end of a request that was sent at from and ended at to.
	ended := func(target string, from, to, began, sends int, status int, reason string) {
		requests++
		write(to, "ended", fmt.Sprintf(`"request":"r%d","route":"chat","service":"llm","target":%q,"status":%d,"reason":%q,`+
			`"sends":%d,"ran":1,"waited":0,"sent":100,"began":%d,"took":%d,"goal":1000`, requests, target, status, reason, sends, began, 100+to-from))
	}
	limit := func(at int, target, cause string) {
		write(at, "limit of a starting target", fmt.Sprintf(`"target":%q,"service":"llm","cause":%q,"limit":2`, target, cause))
	}
	// The healthy targets "a" and "b" have 2 and 4 requests.
	for i := range 6 {
		ended([]string{"a", "b", "b"}[i%3], 0, 20000, 100, 1, 200, "answered")
	}
	// "c" has 5 requests, restarts, and has 3 again 2.5 s later. One of these is late.
	for range 5 {
		ended("c", 0, 20000, 100, 1, 502, "lostAnswer")
	}
	limit(1000, "c", "started")
	limit(1600, "c", "answers")
	ended("c", 1500, 20000, 200, 1, 200, "answered")
	ended("c", 2500, 20000, 2000, 1, 200, "answered")
	ended("c", 3500, 20000, 200, 1, 200, "answered")
	// "d" rejects one request, which then has no target, and another one that "a" answers
	// after "d" has failed it, too. It recovers, and reaches nothing before the end.
	limit(2000, "d", "rejecting")
	retry := func(at, request, sends int, notRun bool) {
		write(at, "retry decision", fmt.Sprintf(
			`"request":"r%d","decision":"sendElsewhere","target":"d","sends":%d,"notRun":%v,"sent":100,"took":110`, request, sends, notRun))
	}
	retry(2010, requests+1, 1, true)
	ended("d", 2000, 2500, 0, 1, 503, "noTarget")
	ended("d", 4000, 20000, 200, 1, 200, "answered")
	retry(4110, requests+1, 1, true)
	retry(4210, requests+1, 2, false)
	ended("a", 4300, 4400, 200, 3, 200, "answered")
	// It rejects everything again and never recovers.
	limit(6000, "d", "rejecting")
	ended("d", 6100, 6200, 0, 1, 503, "full")
	want := `exit 0
out: service  target  cause      ready         full use  sent  late  rejected  no answer
llm      c       started    03:04:06.000  2.5 s     3     1     0         0
llm      d       rejecting  03:04:09.000  -         3     0     1         1
llm      total   1 of 2                   2.5 s     6     1     1         1
all      total   1 of 2                   2.5 s     6     1     1         1
`
	if diff := cmp.Diff(want, called(b.String(), "account", "--starts")); diff != "" {
		t.Errorf("account (-want +got):\n%s", diff)
	}
}
