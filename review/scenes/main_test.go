package scenes

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// sceneLimit is the longest time of a scene.
const sceneLimit = 110 * time.Second

// scenes are the cases by their names, and three that the report tells of beside the cases.
// Each returns whether the rule was broken.
var scenes = map[string]func(*world) (bool, error){
	"adapters": lateAdapter,
	"resume":   resumedRequest,
	"entry":    foreignEntry,
	"path":     escapedPath,
	"gone":     goneReplica,
	"rest":     restForgotten,
	"refusal":  signedRefusal,
}

// TestMain plays a scene if the only argument names one. There are no tests, so that the
// default test run does nothing here.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && scenes[os.Args[1]] != nil {
		os.Exit(play())
	}
	os.Exit(m.Run())
}

func play() int {
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(stopped, sceneLimit)
	defer cancel()
	w, err := newWorld(ctx, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.tell("cannot run: %v", err)
		return exitCannotRun
	}
	defer w.close()
	broken, err := scenes[os.Args[1]](w)
	switch {
	case err != nil:
		rec.tell("cannot run: %v", err)
		return exitCannotRun
	case broken:
		rec.tell("the rule was broken")
		return exitBroken
	}
	rec.tell("the rule held")
	return exitHeld
}
