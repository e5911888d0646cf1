package front

import "sync"

// copyBytes is the size of the parts in which answers are passed on.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}
