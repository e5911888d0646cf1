package entry

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

func TestUnknownZones(t *testing.T) {
	tests := []struct {
		name            string
		listed, members string
		want            string
	}{
		{"nothing listed", "", "bul-a", ""},
		{"all known", "bul-a bul-b", "bul-b bul-a", ""},
		{"one unknown, once", "bul-a pam-a pam-a", "bul-a", "pam-a"},
		{"a leaving entry is no reason to wait", "bul-a -pam-a", "bul-a", ""},
		{"a member that the list lacks", "bul-a", "bul-a pam-a", ""},
	}
	for _, tt := range tests {
		var listed []ports.Instance
		for _, zone := range strings.Fields(tt.listed) {
			name, leaving := strings.CutPrefix(zone, "-")
			listed = append(listed, ports.Instance{Zone: name, Leaving: leaving})
		}
		var members []ports.Member
		for _, zone := range strings.Fields(tt.members) {
			members = append(members, ports.Member{Zone: zone})
		}
		if diff := cmp.Diff(tt.want, strings.Join(unknownZones(listed, members), " ")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
