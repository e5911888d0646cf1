package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/edge"
)

// blocksTimeout limits a call to an instance.
const blocksTimeout = 5 * time.Second

// BlocksCmd shows and lifts the blocks of prompt parts that crash targets.
type BlocksCmd struct {
	At   string `arg:"" help:"HOST:PORT at which an instance serves its metrics."`
	Lift string `help:"Lift the blocks that name this part." placeholder:"ID"`
	JSON bool   `help:"Print JSON." name:"json"`
}

// Run prints the blocks that the instance knows, after lifting those that are to be lifted.
func (c *BlocksCmd) Run(s Streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), blocksTimeout)
	defer cancel()
	if c.Lift != "" {
		if _, err := c.call(ctx, http.MethodPost, edge.LiftPath+"?"+url.Values{"part": {c.Lift}}.Encode()); err != nil {
			return err
		}
	}
	data, err := c.call(ctx, http.MethodGet, edge.BlocksPath)
	if err != nil {
		return err
	}
	var blocks []crash.Block
	if err := json.Unmarshal(data, &blocks); err != nil {
		return trace.BadParameter("%s: answer is no list of blocks: %v", c.At, err)
	}
	if c.JSON {
		return printJSON(s.Out, blocks)
	}
	for _, b := range blocks {
		state := "blocked"
		if b.Lifted {
			state = "lifted"
		}
		age := time.Duration(b.AgeMS) * time.Millisecond
		fmt.Fprintf(s.Out, "%s %s %s/%s for %v, %d targets ended, %d trials\n", state, b.Parts, b.Service, b.Scope, age.Round(time.Second), b.Ends, b.Trials)
	}
	return nil
}

func (c *BlocksCmd) call(ctx context.Context, method, path string) ([]byte, error) {
	return callInstance(ctx, c.At, method, path)
}

// callInstance calls an instance at the address at which it serves its metrics.
func callInstance(ctx context.Context, at, method, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, nil)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", at, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err, "ask %s", at)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, trace.Wrap(err, "ask %s", at)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s: HTTP status %d: %s", at, resp.StatusCode, data)
	}
	return data, nil
}
