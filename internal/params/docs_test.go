package params

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestEverySettingIsDocumented looks for each key, with its default, in the
// operators' table of settings.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\| ([a-z, ]+) \| ([A-Za-z, ]+) \| ([^|]*) \|`).FindAllStringSubmatch(string(page), -1)
	documented := make(map[string]string)
	for _, row := range rows {
		for _, section := range strings.Split(row[1], ", ") {
			for _, key := range strings.Split(row[2], ", ") {
				documented[section+" "+key] = row[3]
			}
		}
	}
	for _, f := range fields {
		fallback, ok := documented[f.section+" "+f.key]
		if !ok {
			t.Errorf("[%s] %s is not documented", f.section, f.key)
		}
		if f.fallback != "" && !strings.Contains(fallback, f.fallback) {
			t.Errorf("[%s] %s: the page says %q, the default is %q", f.section, f.key, fallback, f.fallback)
		}
	}
}
