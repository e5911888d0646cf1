package accept

import "bytes"

// Costs of a head in memory once net/http has built objects from it. A header is held twice:
// as it came, and as it is sent to the target.
const (
	// lineCost is the cost of a header line beside its bytes: entries in two maps, their
	// growth, and the strings and slices.
	lineCost = 512
	// byteCost is the cost of a byte.
	byteCost = 2
)

const (
	// maxLines limits the lines of a head. A head of max_header_bytes = 16384 has fewer lines
	// even if all are of four bytes.
	maxLines = 4096
	// maxEmptyLines limits the empty lines before a request. RFC 9112 asks servers to
	// ignore at least one.
	maxEmptyLines = 8
	// sizeSlack is added to the limit on the size of a head, as net/http does, so that a
	// header of exactly that size is accepted together with its request line.
	sizeSlack = 4 << 10
)

// fault is what is wrong with a head.
type fault uint8

const (
	faultNone fault = iota
	faultSize
	faultLines
	faultEmpty
)

// scanner finds the end of a head in what arrives, and counts.
type scanner struct {
	size  int
	lines int
	empty int
	// lineBytes is the size of the line under way, endsInReturn reports whether its last
	// byte is a carriage return.
	lineBytes    int
	endsInReturn bool
	ended        bool
}

// cost returns what the head costs in memory.
func (s *scanner) cost() int64 { return headCost(s.size, s.lines) }

func headCost(size, lines int) int64 { return int64(size)*byteCost + int64(lines)*lineCost }

// scan reads bytes until the head ends. It returns how many belong to the head.
func (s *scanner) scan(b []byte, maxSize int) (n int, ended bool, f fault) {
	most := max(maxSize+sizeSlack-s.size, 0)
	for n < min(len(b), most) {
		line := b[n:min(len(b), most)]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			s.addToLine(line)
			n += len(line)
			break
		}
		s.addToLine(line[:end])
		s.size++
		n += end + 1
		if ended, f = s.endLine(); ended || f != faultNone {
			return n, ended, f
		}
	}
	if n < len(b) {
		return n, false, faultSize
	}
	return n, false, faultNone
}

func (s *scanner) addToLine(b []byte) {
	if len(b) == 0 {
		return
	}
	s.size += len(b)
	s.lineBytes += len(b)
	s.endsInReturn = b[len(b)-1] == '\r'
}

func (s *scanner) endLine() (ended bool, f fault) {
	empty := s.lineBytes == 0 || s.lineBytes == 1 && s.endsInReturn
	s.lineBytes, s.endsInReturn = 0, false
	switch {
	case empty && s.lines > 0:
		s.ended = true
		return true, faultNone
	case empty:
		s.empty++
		if s.empty > maxEmptyLines {
			return false, faultEmpty
		}
		return false, faultNone
	}
	s.lines++
	if s.lines > maxLines {
		return false, faultLines
	}
	return false, faultNone
}
