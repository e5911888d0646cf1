package shell

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const explainLog = `  2.6554 front-a-2 {"time":"2026-05-15T07:57:32.655Z","level":"info","request":"r1","status":200,"reason":"answered","message":"ended"}
not a log line
  2.1 front-a-2 {"time":"2026-05-15T07:57:32.100Z","level":"info","request":"r1","decision":"sendElsewhere","target":"i-1","message":"request"}
  2.2 front-a-2 {"time":"2026-05-15T07:57:32.200Z","level":"info","request":"r12","message":"ended"}
`

func TestExplain(t *testing.T) {
	var out, errs bytes.Buffer
	s := Streams{In: strings.NewReader(explainLog), Out: &out, Err: &errs}
	if code := Run([]string{"explain", "r1"}, s); code != ExitDone {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	want := "07:57:32.100  - 2.1 front-a-2  request decision=sendElsewhere target=i-1\n" +
		"07:57:32.655  - 2.6554 front-a-2  ended reason=answered status=200\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("story (-want +got):\n%s", diff)
	}
	s.In = strings.NewReader(explainLog)
	if code := Run([]string{"explain", "r2"}, s); code != ExitUsage {
		t.Errorf("exit code %d for a request that no line names", code)
	}
}
