package opapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
	"goa.design/goa/v3/security"

	"chivecroft.example/chivecroft/api/gen/http/operator/server"
	"chivecroft.example/chivecroft/api/gen/operator"
)

// NewHandler serves the operators' API of service to holders of one of the keys
// whose hex SHA-256 sums are given.
func NewHandler(service operator.Service, keyHashes []string) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := operator.NewEndpoints(guarded{Service: service, keyHashes: keyHashes})
	server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError).Mount(mux)
	return mux
}

// Authorized tells whether an Authorization header carries one of the keys.
func Authorized(header string, keyHashes []string) bool {
	const scheme = "Bearer "
	if len(header) < len(scheme) || header[:len(scheme)] != scheme {
		return false
	}
	return matches(header[len(scheme):], keyHashes)
}

func matches(key string, keyHashes []string) bool {
	sum := sha256.Sum256([]byte(key))
	got := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, want := range keyHashes {
		found |= subtle.ConstantTimeCompare(got, []byte(want))
	}
	return found == 1
}

type guarded struct {
	operator.Service
	keyHashes []string
}

// APIKeyAuth lets the call through if its key is known.
func (g guarded) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if matches(key, g.keyHashes) {
		return ctx, nil
	}
	return ctx, Unauthorized()
}

// Unauthorized is the refusal of a call without a known operator key.
func Unauthorized() *operator.Problem {
	return NewProblem("unauthorized", http.StatusUnauthorized, "unauthorized",
		"send an operator key as Authorization: Bearer KEY; the keys' sums stand in [operators] keyHashes")
}

// NewProblem returns a problem document for one of the API's named errors.
func NewProblem(name string, status int, reason, detail string) *operator.Problem {
	return &operator.Problem{
		Name:   name,
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Reason: reason,
	}
}

// document is the body of a refusal, whether a method returned it or the
// framework found the fault. The generated encoders hand every error to
// formatError, so that nothing else decides what reaches the operator.
type document struct {
	Name     string   `json:"name"`
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail"`
	Reason   string   `json:"reason"`
	Problems []string `json:"problems,omitempty"`
	Current  *uint64  `json:"current,omitempty"`
	Changes  any      `json:"changes,omitempty"`
}

// StatusCode returns the HTTP status of the answer.
func (d document) StatusCode() int { return d.Status }

// formatError makes the body of a refusal.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var problem *operator.Problem
	if errors.As(err, &problem) {
		return document(*problem)
	}
	status, reason := http.StatusInternalServerError, "internal"
	var service *goa.ServiceError
	if errors.As(err, &service) {
		status, reason = http.StatusBadRequest, service.Name
		if service.Field != nil && *service.Field == "key" {
			return document(*Unauthorized())
		}
	}
	return document(*NewProblem(reason, status, reason, err.Error()))
}
