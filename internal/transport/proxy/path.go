package proxy

import (
	"errors"
	"net/http"
	"net/url"
	"strings"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

var errPath = errors.New("path of the request cannot be forwarded unchanged")

// targetURL returns the URL of a request to a target, without the host, with the path and
// query as the caller wrote them. It returns errPath if net/http would change them.
func targetURL(r *http.Request) (url.URL, error) {
	path, err := rawPath(r)
	if err != nil {
		return url.URL{}, err
	}
	u := url.URL{Scheme: "http", RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
		return u, nil
	}
	// The scheme would be written before an Opaque that begins with two slashes.
	u.Path, u.RawPath = r.URL.Path, path
	if u.EscapedPath() != path {
		return url.URL{}, errPath
	}
	return u, nil
}

// rawPath returns the path of a request as the caller escaped it. A target is sent the
// origin form of a request target, also if the caller has used the absolute form.
func rawPath(r *http.Request) (string, error) {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(target, "/") {
		return target, nil
	}
	_, rest, _ := strings.Cut(target, "://")
	if r.URL.Host == "" {
		return "", errPath
	}
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		return rest[slash:], nil
	}
	return "/", nil
}

// matchRoute returns the route of a request in a configuration, nil if there is none. The
// absolute form without a path means the path "/", except that OPTIONS then asks about the
// whole server. Both the choice of targets and whether a key is required follow from the
// returned route.
func matchRoute(cfg *fleet.Config, r *http.Request) *fleet.Route {
	path := r.URL.Path
	if path == "" && r.URL.Host != "" && r.Method != http.MethodOptions {
		path = "/"
	}
	return cfg.Match(r.Host, path)
}
