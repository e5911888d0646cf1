package daily

import (
	"time"

	"github.com/gravitational/trace"
)

// dateLayout is the form of a date in keys and reports.
const dateLayout = "2006-01-02"

// Date is a day of the deployment's calendar.
type Date struct {
	Year  int
	Month time.Month
	Day   int
}

// DateOf returns the date at a time in a time zone.
func DateOf(t time.Time, zone *time.Location) Date {
	y, m, d := t.In(zone).Date()
	return Date{Year: y, Month: m, Day: d}
}

// ParseDate reads a date such as 2026-03-29.
func ParseDate(s string) (Date, error) {
	t, err := time.Parse(dateLayout, s)
	if err != nil {
		return Date{}, trace.BadParameter("date %q is not of the form YYYY-MM-DD", s)
	}
	return DateOf(t, time.UTC), nil
}

// Start returns the beginning of the date in a time zone.
func (d Date) Start(zone *time.Location) time.Time {
	return time.Date(d.Year, d.Month, d.Day, 0, 0, 0, 0, zone)
}

// End returns the beginning of the next date.
func (d Date) End(zone *time.Location) time.Time {
	return time.Date(d.Year, d.Month, d.Day+1, 0, 0, 0, 0, zone)
}

// String returns the date as YYYY-MM-DD.
func (d Date) String() string {
	return d.Start(time.UTC).Format(dateLayout)
}

// previous returns the date before.
func (d Date) previous() Date {
	return DateOf(d.Start(time.UTC).AddDate(0, 0, -1), time.UTC)
}

// next returns the date after.
func (d Date) next() Date {
	return DateOf(d.Start(time.UTC).AddDate(0, 0, 1), time.UTC)
}

// before orders dates.
func (d Date) before(other Date) bool {
	return d.Start(time.UTC).Before(other.Start(time.UTC))
}
