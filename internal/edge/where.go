package edge

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/proxy"
)

// WherePath is where operators ask, beside the metrics, where a request would go.
const WherePath = "/where"

// WhereQuery describes a request that is not sent.
type WhereQuery struct {
	Host, Path string
	// Model is a model or MODEL/ADAPTER, empty for none.
	Model string
	// Team is the name of the caller's team, empty for none.
	Team string
	// PromptTokens and OutputTokens are 0 if the request names none.
	PromptTokens, OutputTokens int
}

// Where says where a request would go.
type Where struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Version is that of the active configuration.
	Version int64  `json:"version"`
	Route   string `json:"route"`
	// Quota is nil if the team has none.
	Team     string         `json:"team,omitempty"`
	Quota    *WhereQuota    `json:"quota,omitempty"`
	Services []WhereService `json:"services"`
}

// WhereQuota is a team's quota and what the request counts for it.
type WhereQuota struct {
	// Rate is in Unit per second, Burst and Amount are in Unit.
	Unit   string  `json:"unit"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Amount float64 `json:"amount"`
	// Fits is false if the request can never be admitted.
	Fits bool `json:"fits"`
}

// WhereService is a service that the request may go to.
type WhereService struct {
	Service string `json:"service"`
	// Share is the probability of the service among those of the route.
	Share float64 `json:"share"`
	// Model and Adapter are empty if the service has no engines or the request names none.
	Model   string             `json:"model,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Choice  picker.Explanation `json:"choice"`
}

// Values returns the query in the form in which it is sent.
func (q *WhereQuery) Values() url.Values {
	return url.Values{
		"host": {q.Host}, "path": {q.Path}, "model": {q.Model}, "team": {q.Team},
		"prompt": {strconv.Itoa(q.PromptTokens)}, "output": {strconv.Itoa(q.OutputTokens)},
	}
}

func parseWhereQuery(v url.Values) (WhereQuery, error) {
	q := WhereQuery{Host: v.Get("host"), Path: v.Get("path"), Model: v.Get("model"), Team: v.Get("team")}
	for name, field := range map[string]*int{"prompt": &q.PromptTokens, "output": &q.OutputTokens} {
		if v.Get(name) == "" {
			continue
		}
		n, err := strconv.Atoi(v.Get(name))
		if err != nil || n < 0 {
			return q, trace.BadParameter("%s=%q: give a number of tokens", name, v.Get(name))
		}
		*field = n
	}
	if q.Host == "" || q.Path == "" {
		return q, trace.BadParameter("give host and path")
	}
	return q, nil
}

// serveWhere says where a request would go from this instance. Nothing is sent or counted.
func (e *Edge) serveWhere(w http.ResponseWriter, r *http.Request) {
	q, err := parseWhereQuery(r.URL.Query())
	if err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	out, err := e.where(q)
	switch {
	case trace.IsNotFound(err):
		http.Error(w, trace.UserMessage(err), http.StatusNotFound)
	case err != nil:
		http.Error(w, trace.UserMessage(err), http.StatusServiceUnavailable)
	default:
		e.writeJSON(w, r, out)
	}
}

func (e *Edge) where(q WhereQuery) (*Where, error) {
	cfg := e.config.Load()
	if cfg == nil {
		return nil, trace.ConnectionProblem(nil, "the instance has no configuration yet (noConfig)")
	}
	route := cfg.Match(q.Host, q.Path)
	if route == nil {
		return nil, trace.NotFound("configuration %d has no route for %s%s (noRoute)", cfg.Version, q.Host, q.Path)
	}
	team := findTeam(cfg, q.Team)
	if q.Team != "" && team == nil {
		return nil, trace.NotFound("configuration %d has no team %q", cfg.Version, q.Team)
	}
	out := &Where{Instance: e.boot.Instance, Zone: e.boot.Zone, Version: cfg.Version, Route: route.Name, Team: q.Team}
	if team.HasQuota() {
		out.Quota = e.whereQuota(team, q.PromptTokens+q.OutputTokens)
	}
	call := proxy.Call{PromptTokens: q.PromptTokens, MaxTokens: q.OutputTokens}
	call.Model, call.Adapter, _ = strings.Cut(q.Model, "/")
	sum := 0.0
	for _, b := range route.Backends {
		sum += b.Weight
	}
	for _, b := range route.Backends {
		request := proxy.PlanRequest(e.timer.Now(), cfg, route, b.Service, team, call)
		out.Services = append(out.Services, WhereService{
			Service: b.Service, Share: b.Weight / sum, Model: request.Model, Adapter: request.Adapter,
			Choice: e.picker.Explain(request),
		})
	}
	return out, nil
}

func (e *Edge) whereQuota(t *fleet.Team, tokens int) *WhereQuota {
	unit := "requests"
	if t.Unit == fleet.UnitTokens {
		unit = "tokens"
	}
	amount := t.Amount(tokens)
	return &WhereQuota{Unit: unit, Rate: t.Rate, Burst: t.Burst, Amount: amount, Fits: e.permits.fits(t.Name, amount)}
}

func findTeam(c *fleet.Config, name string) *fleet.Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}
