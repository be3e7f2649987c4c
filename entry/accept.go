package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
)

const bearerPrefix = "Bearer "

// accept turns the request into a call; an error is a *pomelo.Fault, and the call has not been dispatched.
func (s *Server) accept(g *gin.Context) (pomelo.Call, error) {
	id := uuid.Must(uuid.NewV7()).String()
	c := pomelo.Call{ID: id, RootID: id, RetriesLeft: s.retries}
	r := g.Request
	route, ok := s.config.Route(r.Method, r.URL.Path)
	if !ok {
		return c, pomelo.NewFault(pomelo.KindNoRoute, "no route matches "+r.Method+" "+r.URL.Path, "check the method and path, or ask the operators to set a route")
	}
	applyRoute(&c, route)
	if err := s.authenticate(&c, r, route); err != nil {
		return c, err
	}
	if err := s.setDeadline(&c, r, route); err != nil {
		return c, err
	}
	if err := s.readBody(&c, r); err != nil {
		return c, err
	}
	c.Method = r.Method
	c.Path = r.URL.RequestURI()
	c.Header = pomelo.EndToEndHeaders(r.Header)
	c.IdempotencyKey = r.Header.Get(pomelo.HeaderIdempotency)
	if route.Open && c.Account == "" {
		return c, nil
	}
	return c, s.rates.Admit(r.Context(), c)
}

func applyRoute(c *pomelo.Call, route pomelo.Route) {
	c.Service = route.Service
	c.RouteName = route.Name
	c.Importance = route.Importance
	c.NonIdempotent = route.NonIdempotent
}

// authenticate sets the account of the request's key; an invalid key is refused on open routes too.
func (s *Server) authenticate(c *pomelo.Call, r *http.Request, route pomelo.Route) error {
	secret := keySecret(r)
	if secret == "" {
		if route.Open {
			return nil
		}
		return pomelo.NewFault(pomelo.KindNoKey, "the request carries no key", "send the client account's key in "+pomelo.HeaderKey+" or as a bearer token")
	}
	if !s.config.KeysFresh() {
		return pomelo.NewFault(pomelo.KindNotAuthoritative, "this node can't tell whether the key still holds", "send the request to another node")
	}
	sum := sha256.Sum256([]byte(secret))
	k, ok := s.config.Key(hex.EncodeToString(sum[:]))
	if !ok {
		return pomelo.NewFault(pomelo.KindKeyUnknown, "the key is not known", "check the key, or ask the operators for a new one")
	}
	if k.Withdrawn {
		return pomelo.NewFault(pomelo.KindKeyWithdrawn, "the key has been withdrawn", "ask the operators for a new key")
	}
	c.Account = k.Account
	c.KeyID = k.ID
	return nil
}

// keySecret returns the key from the key header or else from a bearer token, or "".
func keySecret(r *http.Request) string {
	if k := r.Header.Get(pomelo.HeaderKey); k != "" {
		return k
	}
	a := r.Header.Get("Authorization")
	if len(a) > len(bearerPrefix) && strings.EqualFold(a[:len(bearerPrefix)], bearerPrefix) {
		return a[len(bearerPrefix):]
	}
	return ""
}

// setDeadline applies the route's timeout or the default; the timeout header can only shorten it.
func (s *Server) setDeadline(c *pomelo.Call, r *http.Request, route pomelo.Route) error {
	timeout := s.timeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if h := r.Header.Get(pomelo.HeaderTimeout); h != "" {
		n, err := strconv.ParseInt(h, 10, 64)
		if err != nil || n <= 0 {
			return pomelo.NewFault(pomelo.KindBadRequest, pomelo.HeaderTimeout+" is not a positive whole number", "send the timeout in milliseconds, such as 2000")
		}
		timeout = min(timeout, pomelo.Millis(n))
	}
	c.Deadline = s.clock.Now() + timeout
	return nil
}

func (s *Server) readBody(c *pomelo.Call, r *http.Request) error {
	b, err := bound.ReadBody(r, int64(s.maxBodyBytes))
	var f *pomelo.Fault
	if errors.As(err, &f) {
		return f
	}
	if err != nil {
		return pomelo.NewFault(pomelo.KindBadRequest, "the body was cut short", "send the whole body")
	}
	c.Body = b
	return nil
}
