package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// Teams of the soak. At 1,500 tokens a request, 0.55 of a quota is used at the usual load.
const (
	soakQuota      = 20_000
	leastTokens    = 100
	mostTokens     = 15_000
	spreadOfTokens = 1_400
	// pressFactor is the load of a team that sends more than usual, in its usual load.
	pressFactor = 10
	// claimShare is the part of requests whose callers claim to be of another team,
	// replacedShare the part that is sent with a key that may soon be revoked.
	claimShare    = 0.25
	replacedShare = 0.3
	// fewestOthers is the number of requests of other teams below which their share of
	// served ones says nothing.
	fewestOthers = 20
)

var (
	soakTeams = []string{"red", "green", "blue", "gold"}
	// soakAllowed is what a window may hold of a team.
	soakAllowed = soakBounds.AllowedAmount(fake.Team{Rate: soakQuota, Burst: soakQuota})
)

// lastingKey returns the key of a team that is never revoked, replacedKey one that is until
// the next one replaces it.
func lastingKey(team string) string { return "lasting-key-of-" + team }

func replacedKey(team string, number int) string { return fmt.Sprintf("key-%d-of-%s", number, team) }

// teams returns the teams of the next configuration.
func (w *soakWorld) teams() []fake.Team {
	w.mu.Lock()
	defer w.mu.Unlock()
	var teams []fake.Team
	for _, name := range soakTeams {
		keys := []string{lastingKey(name), replacedKey(name, w.revoked[name])}
		teams = append(teams, fake.Team{Name: name, Keys: keys, Unit: "tokens", Rate: soakQuota, Burst: soakQuota})
	}
	return teams
}

// revoke replaces a key of a team by a new configuration.
func (w *soakWorld) revoke(team string) {
	w.mu.Lock()
	key := replacedKey(team, w.revoked[team])
	w.revoked[team]++
	w.lastRevoked = team
	w.mu.Unlock()
	w.configure()
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	w.record.revoked[key] = time.Now()
}

// drawTeam draws the key and tokens of a call of a team, or of any if that is empty, and the
// team that its caller claims to be.
func (w *soakWorld) drawTeam(c *soakCall, team string) (claim string) {
	c.team = team
	if team == "" {
		c.team = soakTeams[rand.IntN(len(soakTeams))]
	}
	c.key = lastingKey(c.team)
	if team == "" && rand.Float64() < replacedShare {
		w.mu.Lock()
		c.key = replacedKey(c.team, w.revoked[c.team])
		w.mu.Unlock()
	}
	c.tokens = min(leastTokens+int(spreadOfTokens*rand.ExpFloat64()), mostTokens)
	if rand.Float64() < claimShare {
		return soakTeams[rand.IntN(len(soakTeams))]
	}
	return ""
}

// askWithRevokedKey sends requests to an instance with the key that was revoked last. One is
// always under way, so that an instance that was frozen gets it before anything newer.
func (w *soakWorld) askWithRevokedKey(ctx context.Context, in *soakInstance) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", in.callers.String())
	}}
	for n := 0; ctx.Err() == nil; n++ {
		w.mu.Lock()
		team := w.lastRevoked
		key := replacedKey(team, max(w.revoked[team]-1, 0))
		w.mu.Unlock()
		c := &soakCall{id: fmt.Sprintf("k-%s-%d", in.id, n), kind: lookups, team: team, key: key, tokens: leastTokens, began: time.Now()}
		w.call(transport, c, c.kind.within, "", "")
		w.record.called(c)
		time.Sleep(probeEvery)
	}
}

// pressTeam has a team send more than its usual load for a time.
func (w *soakWorld) pressTeam(team string, d time.Duration) {
	defer w.record.span(&w.record.pressing, team, string(pressesTeam))()
	ctx, stop := context.WithTimeout(w.t.Context(), d)
	defer stop()
	var calling sync.WaitGroup
	for i := range (pressFactor - 1) * soakCallers / len(soakTeams) {
		calling.Go(func() { w.caller(ctx, fmt.Sprintf("%s%d", team, i), team) })
	}
	<-ctx.Done()
	// The last calls end after the disturbance.
	w.calling.Go(calling.Wait)
}

// judgeTeams checks what targets got of teams: requests of the keys' teams alone, none with
// a key that was revoked too long ago, and in no window more than quotas allow. A request
// counts once, and only if it ran.
func (r *soakRecord) judgeTeams() {
	calls := make(map[string]*soakCall)
	for _, c := range r.calls {
		calls[c.id] = c
	}
	counted := make(map[string]bool)
	for _, a := range r.arrivals {
		c := calls[a.id]
		if c == nil {
			c = &soakCall{}
		}
		if a.team != c.team {
			r.failed("%s reached %s for team %q %v after the beginning, its key is of %q", a.id, a.target, a.team, a.at.Sub(r.began), c.team)
		}
		if r.wasHeld(c, a) {
			continue
		}
		if at, ok := r.revoked[c.key]; ok && a.at.Sub(at) > soakBounds.Revocation {
			r.failed("%s reached %s by %s %v after its key was revoked, %v after the beginning", a.id, a.target, c.instance, a.at.Sub(at), a.at.Sub(r.began))
		}
		if c.team != "" && len(r.runs[a.id]) > 0 && !counted[a.id] {
			counted[a.id] = true
			r.amounts[c.team] = append(r.amounts[c.team], fake.Arrival{At: a.at, Amount: float64(c.tokens)})
		}
	}
	for _, team := range soakTeams {
		if most, at := fake.LargestAmount(r.amounts[team], soakBounds.QuotaWindow); most > soakAllowed {
			r.failed("%s: %.0f tokens arrived in the %v from %v after the beginning on, allowed %.0f",
				team, most, soakBounds.QuotaWindow, at.Sub(r.began), soakAllowed)
		}
	}
}

// wasHeld tells whether a request may have been on a link to a target that held it back.
func (r *soakRecord) wasHeld(c *soakCall, a soakArrival) bool {
	return slices.ContainsFunc(r.spans, func(s *soakSpan) bool {
		return s.kind == string(holdsTargetLink) && s.whom == r.at[a.id] && s.overlaps(c.began, a.at)
	})
}

// othersDuring returns how many requests of the other teams were sent while a team sent
// more than usual and nothing else was disturbed, and how many of them were served.
func (r *soakRecord) othersDuring(s *soakSpan) (asked, served int) {
	for _, c := range r.calls {
		// A key that is not the lasting one may be too new.
		isOther := c.team != s.whom && c.key == lastingKey(c.team) && c.began.After(s.from) && c.began.Before(s.to)
		if !isOther || c.leaves || c.isDeadly || r.isLimited(c) || !r.untroubled(c.began, c.ended) || r.stopped(c.instance, c.began, c.ended) {
			continue
		}
		asked++
		if c.isServed() {
			served++
		}
	}
	return asked, served
}

// isRevoked tells whether a call's key is revoked at some time.
func (r *soakRecord) isRevoked(c *soakCall) bool { return !r.revoked[c.key].IsZero() }

// isLimited tells whether a target named a rate limit during a call.
func (r *soakRecord) isLimited(c *soakCall) bool {
	return slices.ContainsFunc(r.limits, func(l *soakLimit) bool { return l.overlaps(c.began, c.ended) })
}

// judgeOthers checks that the other teams are served while one sends more than usual.
func (r *soakRecord) judgeOthers() {
	for _, s := range r.pressing {
		if asked, served := r.othersDuring(s); asked >= fewestOthers && float64(served) < servedShare*float64(asked) {
			r.failed("%d of %d requests of other teams were served while %s sent %d times its load", served, asked, s.whom, pressFactor)
		}
	}
}

// teamSummary returns how much of what the checks on teams allow was used.
func (r *soakRecord) teamSummary() string {
	text := fmt.Sprintf("%d keys revoked, largest share of a quota", len(r.revoked))
	for _, team := range soakTeams {
		most, _ := fake.LargestAmount(r.amounts[team], soakBounds.QuotaWindow)
		text += fmt.Sprintf(" %s %.2f", team, most/soakAllowed)
	}
	for _, s := range r.pressing {
		asked, served := r.othersDuring(s)
		text += fmt.Sprintf("; %d of %d of others served beside %s", served, asked, s.whom)
	}
	return text
}
