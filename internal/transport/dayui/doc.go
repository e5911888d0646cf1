// Package dayui shows a day's report: as a page that reads well on a phone and
// prints on one sheet, and as text for a terminal.
package dayui
