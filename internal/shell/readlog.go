package shell

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// logLineBytes bounds one line of a log.
const logLineBytes = 1 << 20

// readLogs hands each line of the logs to take, with where it comes from; without files
// it reads in. It returns how many lines are no log lines.
func readLogs(files []string, in io.Reader, take func(source, text string)) (bad int, err error) {
	if len(files) == 0 {
		return readLog("-", in, take)
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return bad, trace.ConvertSystemError(err)
		}
		n, err := readLog(path, f, take)
		_ = f.Close()
		bad += n
		if err != nil {
			return bad, err
		}
	}
	return bad, nil
}

func readLog(source string, r io.Reader, take func(source, text string)) (bad int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, logLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Other programs may put a time or a machine's name before the line.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			bad++
			continue
		}
		take(strings.TrimSpace(source+" "+strings.TrimSpace(text[:start])), text[start:])
	}
	return bad, trace.Wrap(scanner.Err(), "read %s", source)
}

// reportBad says how many lines were passed over.
func reportBad(w io.Writer, bad int) {
	if bad > 0 {
		fmt.Fprintf(w, "%d lines are no log lines and were passed over\n", bad)
	}
}
