package gate

import "fmt"

// statusAt is where the status begins in the first line of a head, as in "HTTP/1.1 200 OK".
const statusAt = len("HTTP/1.1 ")

// foldScan finds lines of a response's head that begin with a blank, in what arrives. net/http
// adds them to the line before, whose value is then not what the server has signed or meant.
// RFC 9112, section 5.2, lets recipients refuse such a response.
type foldScan struct {
	// isOver reports whether the head has ended.
	isOver bool
	// lines counts the lines that are complete, lineBytes the bytes of the one under way.
	lines, lineBytes int
	// isInterim reports whether another head follows.
	isInterim bool
}

// scan returns ErrInvalidHead if a line begins with a blank.
func (s *foldScan) scan(b []byte) error {
	for i := 0; i < len(b) && !s.isOver; i++ {
		switch c := b[i]; {
		case c == '\n':
			s.endLine()
		case c == '\r':
		case s.lineBytes == 0 && s.lines > 0 && (c == ' ' || c == '\t'):
			return fmt.Errorf("%w: line %d begins with a blank", ErrInvalidHead, s.lines+1)
		default:
			if s.lines == 0 && s.lineBytes == statusAt {
				s.isInterim = c == '1'
			}
			s.lineBytes++
		}
	}
	return nil
}

func (s *foldScan) endLine() {
	switch {
	case s.lineBytes > 0:
		s.lines++
		s.lineBytes = 0
	case s.lines > 0 && s.isInterim:
		*s = foldScan{}
	case s.lines > 0:
		s.isOver = true
	}
}
