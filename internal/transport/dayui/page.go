package dayui

import (
	_ "embed" // for the template
	"html/template"
	"io"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/daily"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("day").Funcs(template.FuncMap{
	"hours":   hours,
	"brief":   brief,
	"heading": heading,
	"clock":   clock,
}).Parse(pageText))

// Bounds of the page, so that it prints on one sheet.
const (
	pageModels     = 10
	pageHappenings = 9
	pageGaps       = 6
	pageRefusals   = 8
	pageServices   = 7
	pageOutcomes   = 7
)

// HTML writes the report as a page; it needs no script.
func HTML(w io.Writer, r daily.Report) error {
	v, err := newView(r, sheet{
		models: pageModels, happenings: pageHappenings, gaps: pageGaps, refusals: pageRefusals, services: pageServices, outcomes: pageOutcomes,
	})
	if err != nil {
		return trace.Wrap(err, "show day %s", r.Date)
	}
	return trace.Wrap(page.Execute(w, v), "write day page of %s", r.Date)
}
