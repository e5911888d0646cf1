package deps

import (
	_ "github.com/google/go-cmp/cmp"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)
