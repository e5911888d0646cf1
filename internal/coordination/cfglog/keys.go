package cfglog

import (
	"fmt"
	"strconv"
	"strings"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Keys in the KV service.
const (
	logPrefix  = "config/log/"
	headKey    = "config/head"
	snapPrefix = "config/snap/"
)

// logKey returns the key of a version's log entry. All keys have the same length, so they
// sort by version and none is a prefix of another.
func logKey(v config.Version) string {
	return fmt.Sprintf("%s%012d", logPrefix, v)
}

func logVersion(key string) (config.Version, bool) {
	digits, ok := strings.CutPrefix(key, logPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return config.Version(n), err == nil
}

func chunkKey(ref config.SnapshotRef, i int) string {
	return fmt.Sprintf("%s%s/%d", snapPrefix, ref.Name(), i)
}
