package server

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/objects/keeper"
	"wisteriaspoke.example/objects/meter"
)

// maxBody leaves room for an object's metadata beside its value.
const maxBody = keeper.MaxSpec + 4096

// routes returns the handlers of the API and of the endpoints for tests.
func (s *Server) routes() http.Handler {
	const prefix = "/apis/" + apiVersion + "/{plural}"
	m := http.NewServeMux()
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.HandleFunc("GET /counts", s.authorised(s.counts))
	m.HandleFunc("PUT /faults", s.authorised(s.setFaults))
	m.HandleFunc("GET "+prefix, s.authorised(s.listOrWatch))
	m.HandleFunc("GET "+prefix+"/{name}", s.read(meter.Get, s.get))
	m.HandleFunc("POST "+prefix, s.write(meter.Create, s.create))
	m.HandleFunc("PUT "+prefix+"/{name}", s.write(meter.Update, s.update))
	m.HandleFunc("DELETE "+prefix+"/{name}", s.write(meter.Delete, s.delete))
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, "NotFound", "no resource at "+r.Method+" "+r.URL.Path)
	})
	return m
}

func (s *Server) authorised(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			fail(w, http.StatusUnauthorized, "Unauthorized", "the bearer token is missing or wrong")
			return
		}
		next(w, r)
	}
}

func (s *Server) read(kind int, next http.HandlerFunc) http.HandlerFunc {
	return s.authorised(s.admitted(kind, s.limiter.TakeRead, next))
}

// admitted counts a call and applies the outage, the rate and the delay, in this order.
func (s *Server) admitted(kind int, take func() bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counter.Count(kind)
		if out, _ := s.faults.Out(); out {
			fail(w, http.StatusServiceUnavailable, "ServiceUnavailable", "the store is out")
			return
		}
		if !take() {
			s.counter.Count(meter.Throttled)
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "TooManyRequests", "over the rate; retry after 1 s")
			return
		}
		s.sleep()
		next(w, r)
	}
}

// sleep holds a call back by the injected delay. A write then takes effect even if its caller has given up, as in a
// store that is slow to answer.
func (s *Server) sleep() {
	delay := s.faults.Delay()
	if delay <= 0 {
		return
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stopping:
	}
}

// operation does one write and returns the status and body of its answer.
type operation func(r *http.Request, body []byte) (int, any, error)

func (s *Server) write(kind int, do operation) http.HandlerFunc {
	return s.authorised(func(w http.ResponseWriter, r *http.Request) {
		// The body is read before any delay, so that a caller that gives up has still sent its write.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		s.admitted(kind, s.limiter.TakeWrite, func(w http.ResponseWriter, r *http.Request) {
			if err != nil {
				failBody(w, err)
				return
			}
			code, answer, err := do(r, body)
			if err != nil {
				failWith(w, r, err)
				return
			}
			if s.faults.Lose() {
				panic(http.ErrAbortHandler) // closes the connection without an answer
			}
			reply(w, code, answer)
		})(w, r)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.storage.Get(r.PathValue("plural"), r.PathValue("name"))
	if err != nil {
		failWith(w, r, err)
		return
	}
	reply(w, http.StatusOK, newResource(o))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	plural := r.PathValue("plural")
	objects, revision := s.storage.List(plural)
	reply(w, http.StatusOK, newList(plural, objects, revision))
}

func (s *Server) create(r *http.Request, body []byte) (int, any, error) {
	o, err := decode(r.PathValue("plural"), "", body)
	if err != nil {
		return 0, nil, err
	}
	if o.Revision() != "" {
		return 0, nil, fault.New(fault.Invalid, "resourceVersion is set on a create", "leave it empty")
	}
	o, err = s.storage.Create(o)
	return http.StatusCreated, newResource(o), err
}

func (s *Server) update(r *http.Request, body []byte) (int, any, error) {
	o, err := decode(r.PathValue("plural"), r.PathValue("name"), body)
	if err != nil {
		return 0, nil, err
	}
	if o.Revision() == "" {
		what := "resourceVersion must be specified for an update"
		return 0, nil, fault.New(fault.Invalid, what, "send the one that was read")
	}
	o, err = s.storage.Update(o)
	return http.StatusOK, newResource(o), err
}

func (s *Server) delete(r *http.Request, body []byte) (int, any, error) {
	var opts options
	if len(bytes.TrimSpace(body)) > 0 {
		if err := json.Unmarshal(body, &opts); err != nil {
			return 0, nil, fault.Wrap(fault.Invalid, err, "the body is not JSON", "send DeleteOptions or nothing")
		}
	}
	o := object.New(r.PathValue("plural"), r.PathValue("name"), opts.Preconditions.ResourceVersion, nil)
	_, err := s.storage.Delete(o)
	return http.StatusOK, status{Kind: "Status", APIVersion: "v1", Status: "Success", Code: http.StatusOK}, err
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.counter.Counts())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Delay int64 `json:"delay"` // milliseconds
		Out   bool  `json:"out"`
		Lose  int   `json:"lose"`
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		failBody(w, err)
		return
	}
	if f.Delay < 0 || f.Lose < 0 {
		fail(w, http.StatusUnprocessableEntity, "Invalid", "delay and lose must be 0 or more")
		return
	}
	s.faults.Set(time.Duration(f.Delay)*time.Millisecond, f.Out, f.Lose)
	reply(w, http.StatusOK, f)
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// An error here means that the caller has gone; there is nobody left to tell.
	_ = newEncoder(w).Encode(body)
}

// newEncoder keeps the bytes of compact values as they are, which the default escaping of HTML would not.
func newEncoder(w io.Writer) *json.Encoder {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return e
}

func fail(w http.ResponseWriter, code int, reason, message string) {
	reply(w, code, newFailure(code, reason, message))
}

func failBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
		return
	}
	fail(w, http.StatusBadRequest, "BadRequest", err.Error())
}

func failWith(w http.ResponseWriter, r *http.Request, err error) {
	s := failure(err)
	if s.Code == http.StatusConflict && r.Method == http.MethodPost {
		s.Reason = "AlreadyExists"
	}
	reply(w, s.Code, s)
}

// failure returns the Status of a fault.
func failure(err error) status {
	if malformed(err) {
		return newFailure(http.StatusBadRequest, "BadRequest", err.Error())
	}
	switch fault.KindOf(err) {
	case fault.NotFound:
		return newFailure(http.StatusNotFound, "NotFound", err.Error())
	case fault.Conflict:
		return newFailure(http.StatusConflict, "Conflict", err.Error())
	case fault.Gone:
		return newFailure(http.StatusGone, "Expired", err.Error())
	case fault.Throttled: // by the storage, which limits sizes only
		return newFailure(http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
	case fault.Invalid:
		return newFailure(http.StatusUnprocessableEntity, "Invalid", err.Error())
	default:
		return newFailure(http.StatusInternalServerError, "InternalError", err.Error())
	}
}

// malformed reports whether a body was not JSON of the right shape.
func malformed(err error) bool {
	var syntax *json.SyntaxError
	var shape *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &shape)
}
