package socket

import "strings"

// Head is a head of an answer that no client may accept.
type Head struct {
	Name string
	// IsUnreadable means that net/http itself refuses the head.
	IsUnreadable bool
	// status replaces the status and its text, line is a further line. One of them is set.
	status, line string
}

// InvalidHeads returns heads that are complete and none of a final response.
func InvalidHeads() []Head {
	return []Head{
		{Name: "status 000", status: "000 "},
		{Name: "status 020", status: "020 OK"},
		{Name: "status 099", status: "099 OK"},
		{Name: "status +20", status: "+20 OK"},
		{Name: "status 101", status: "101 Switching Protocols"},
		{Name: "status 600", status: "600 OK"},
		{Name: "status 999", status: "999 OK"},
		{Name: "blank in a name", line: "X Own: 1"},
		{Name: "blank after a name", line: "X-Own : 1"},
		{Name: "blank after Content-Length", line: "Content-Length : 1"},
		{Name: "blank after Transfer-Encoding", line: "Transfer-Encoding : chunked"},
		{Name: "blank before a name", line: " X-Own: 1"},
		{Name: "tab before a name", line: "\tX-Own: 1"},
		{Name: "tab after a name", line: "X-Own\t: 1", IsUnreadable: true},
		{Name: "NUL in a name", line: "X-\x00Own: 1", IsUnreadable: true},
		{Name: "control byte in a name", line: "X-\x01Own: 1", IsUnreadable: true},
		{Name: "control byte in Content-Length", line: "Content-\x1fLength: 1", IsUnreadable: true},
		{Name: "return in a name", line: "X-\rOwn: 1", IsUnreadable: true},
		{Name: "DEL after a name", line: "X-Own\x7f: 1", IsUnreadable: true},
		{Name: "empty name", line: ": 1", IsUnreadable: true},
		{Name: "no name", line: "nothing", IsUnreadable: true},
	}
}

// Answer returns an answer with the head, which would be valid with the given status and
// lines. Its body ends with the connection.
func (h Head) Answer(status, lines, body string) string {
	if h.status != "" {
		status = h.status
	}
	if h.line != "" {
		lines += h.line + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + lines + "\r\n" + body
}

// CutHeads returns the beginnings of an answer that end before its head does, the empty one
// included.
func CutHeads(answer string) []string {
	const end = "\r\n\r\n"
	var out []string
	for n := range strings.Index(answer, end) + len(end) {
		out = append(out, answer[:n])
	}
	return out
}
