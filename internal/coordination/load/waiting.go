package load

import "time"

// severalTeams stands for more than one team in Waiting.
const severalTeams = ""

// Waiting holds by service and model the team whose requests lack a free target, empty if
// these are several teams. For other models no team's requests do.
type Waiting map[string]map[string]string

// Add adds a team.
func (w Waiting) Add(m Model, team string) {
	if w[m.Service] == nil {
		w[m.Service] = make(map[string]string)
	}
	if have, ok := w[m.Service][m.Model]; ok && have != team {
		team = severalTeams
	}
	w[m.Service][m.Model] = team
}

// merge adds the teams of another instance.
func (w Waiting) merge(other Waiting) {
	for service, models := range other {
		for model, team := range models {
			w.Add(Model{Service: service, Model: model}, team)
		}
	}
}

// HasOther reports whether a team other than the given one lacks a target for a model.
func (w Waiting) HasOther(m Model, team string) bool {
	have, ok := w[m.Service][m.Model]
	return ok && have != team
}

// HasOtherAnywhere is HasOther for any model.
func (w Waiting) HasOtherAnywhere(team string) bool {
	for _, models := range w {
		for _, have := range models {
			if have != team {
				return true
			}
		}
	}
	return false
}

func (w Waiting) count() int {
	n := 0
	for _, models := range w {
		n += len(models)
	}
	return n
}

// waitingTeams holds the latest reports of waiting teams of all instances.
type waitingTeams map[Model]waiters

// waiters is when a team was last reported for a model, and when another last was.
type waiters struct {
	team        string
	at, otherAt time.Time
}

func (t waitingTeams) record(now time.Time, w Waiting) {
	for service, models := range w {
		for model, team := range models {
			m := Model{service, model}
			have := t[m]
			switch team {
			case severalTeams:
				have.at, have.otherAt = now, now
			case have.team:
				have.at = now
			default:
				have = waiters{team: team, at: now, otherAt: have.at}
			}
			t[m] = have
		}
	}
}

// current returns the reports that have not expired, of at most maxRates models, and
// forgets the others.
func (t waitingTeams) current(now time.Time) Waiting {
	out := make(Waiting)
	for m, have := range t {
		if now.Sub(have.at) > MaxAge {
			delete(t, m)
			continue
		}
		if out.count() >= maxRates {
			break
		}
		team := have.team
		if now.Sub(have.otherAt) <= MaxAge {
			team = severalTeams
		}
		out.Add(m, team)
	}
	return out
}
