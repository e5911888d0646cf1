package shell

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/gen/http/operator/server"
	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/state/config"
)

// statusOutput returns the status in the form in which the API sends it.
func statusOutput(s *operator.StatusResult) *server.StatusResponseBody {
	return server.NewStatusResponseBody(s)
}

// printDiff shows what differs between two configurations as the API returned them.
func printDiff(w io.Writer, a, b any, asJSON bool) error {
	older, err := asConfig(a)
	if err != nil {
		return trace.Wrap(err)
	}
	newer, err := asConfig(b)
	if err != nil {
		return trace.Wrap(err)
	}
	changes := config.Diff(older, newer)
	if asJSON {
		return printJSON(w, changes)
	}
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
	return nil
}

func asConfig(v any) (*config.Config, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := new(config.Config)
	if err := json.Unmarshal(data, c); err != nil {
		return nil, trace.Wrap(err, "the entry's answer is no configuration")
	}
	return c, nil
}
