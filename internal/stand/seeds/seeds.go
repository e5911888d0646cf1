package seeds

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package with a fixed seed for its random ones, so that
// they give the same verdict each time; -rapid.seed overrides it, and 0 draws one.
func Main(m *testing.M, seed uint64) {
	_ = flag.Set("rapid.seed", strconv.FormatUint(seed, 10))
	flag.Parse()
	os.Exit(m.Run())
}
