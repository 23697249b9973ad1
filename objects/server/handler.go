package server

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/objects/keeper"
	"wisteriaspoke.example/objects/meter"
)

// maxBodySize is the limit of a request's body in bytes; it leaves room for metadata beside an object's value.
const maxBodySize = keeper.MaxSpecSize + 4096

// eraHeader is the response header that counts the restores of the store.
const eraHeader = "Store-Era"

// routes returns the handlers of the API and of the endpoints for tests.
func (s *Server) routes() http.Handler {
	const prefix = "/apis/" + apiVersion + "/{plural}"
	m := http.NewServeMux()
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.HandleFunc("GET /counts", s.requireToken(s.counts))
	m.HandleFunc("PUT /faults", s.requireToken(s.setFaults))
	m.HandleFunc("POST /save", s.requireToken(func(http.ResponseWriter, *http.Request) { s.storage.Save() }))
	m.HandleFunc("POST /restore", s.requireToken(func(http.ResponseWriter, *http.Request) { s.storage.Restore() }))
	m.HandleFunc("GET "+prefix, s.requireToken(s.listOrWatch))
	m.HandleFunc("GET "+prefix+"/{name}", s.read(meter.Get, s.get))
	m.HandleFunc("POST "+prefix, s.write(meter.Create, s.create))
	m.HandleFunc("PUT "+prefix+"/{name}", s.write(meter.Update, s.update))
	m.HandleFunc("DELETE "+prefix+"/{name}", s.write(meter.Delete, s.delete))
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, http.StatusNotFound, "NotFound", "no resource at "+r.Method+" "+r.URL.Path)
	})
	return s.withEra(m)
}

// withEra sets the era in all responses of a store that was restored. It is read before the content: content of an older
// era must not bear a newer one.
func (s *Server) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if era := s.storage.Era(); era > 0 {
			w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		}
		next.ServeHTTP(w, r)
	})
}

// requireToken rejects calls without the configured bearer token.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			writeFailure(w, http.StatusUnauthorized, "Unauthorized", "the bearer token is missing or wrong")
			return
		}
		next(w, r)
	}
}

// read wraps the handler of a read with requireToken and admit.
func (s *Server) read(kind int, next http.HandlerFunc) http.HandlerFunc {
	return s.requireToken(s.admit(kind, s.limiter.AllowRead, next))
}

// admit counts a call and applies the outage, the rate limit and the delay, in this order.
func (s *Server) admit(kind int, allow func() bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counter.Count(kind)
		if inOutage, _ := s.faults.Outage(); inOutage {
			writeFailure(w, http.StatusServiceUnavailable, "ServiceUnavailable", "the store is out")
			return
		}
		if !allow() {
			s.counter.Count(meter.Throttled)
			w.Header().Set("Retry-After", "1")
			writeFailure(w, http.StatusTooManyRequests, "TooManyRequests", "over the rate; retry after 1 s")
			return
		}
		s.injectDelay()
		next(w, r)
	}
}

// injectDelay delays a call by the injected delay, or until the server stops.
//
// It ignores the caller's context: a write takes effect even if its caller has given up, as in a store that is slow to
// answer.
func (s *Server) injectDelay() {
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

// operation performs one write and returns the status code and body of the response.
type operation func(r *http.Request, body []byte) (int, any, error)

// write returns the handler of an operation, with requireToken and admit, which drops the answer on an injected fault.
func (s *Server) write(kind int, operate operation) http.HandlerFunc {
	return s.requireToken(func(w http.ResponseWriter, r *http.Request) {
		// The body is read before the delay, so that the write is complete even if its caller gives up during the delay.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
		s.admit(kind, s.limiter.AllowWrite, func(w http.ResponseWriter, r *http.Request) {
			if err != nil {
				writeBodyError(w, err)
				return
			}
			code, response, err := operate(r, body)
			if err != nil {
				writeFault(w, r, err)
				return
			}
			if s.faults.LoseAnswer() {
				panic(http.ErrAbortHandler) // closes the connection without a response
			}
			writeJSON(w, code, response)
		})(w, r)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.storage.Get(r.PathValue("plural"), r.PathValue("name"))
	if err != nil {
		writeFault(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, newResource(o))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	plural := r.PathValue("plural")
	objects, revision := s.storage.List(plural)
	writeJSON(w, http.StatusOK, newList(plural, objects, revision))
}

func (s *Server) create(r *http.Request, body []byte) (int, any, error) {
	o, err := decodeObject(r.PathValue("plural"), "", body)
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
	o, err := decodeObject(r.PathValue("plural"), r.PathValue("name"), body)
	if err != nil {
		return 0, nil, err
	}
	if o.Revision() == "" {
		problem := "resourceVersion must be specified for an update"
		return 0, nil, fault.New(fault.Invalid, problem, "send the one that was read")
	}
	o, err = s.storage.Update(o)
	return http.StatusOK, newResource(o), err
}

func (s *Server) delete(r *http.Request, body []byte) (int, any, error) {
	var options deleteOptions
	if len(bytes.TrimSpace(body)) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			return 0, nil, fault.Wrap(fault.Invalid, err, "the body is not JSON", "send DeleteOptions or nothing")
		}
	}
	o := object.New(r.PathValue("plural"), r.PathValue("name"), options.Preconditions.ResourceVersion, nil)
	_, err := s.storage.Delete(o)
	return http.StatusOK, status{Kind: "Status", APIVersion: "v1", Status: "Success", Code: http.StatusOK}, err
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.counter.Counts())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Delay int64 `json:"delay"` // milliseconds
		Out   bool  `json:"out"`
		Lose  int   `json:"lose"`
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeBodyError(w, err)
		return
	}
	if f.Delay < 0 || f.Lose < 0 {
		writeFailure(w, http.StatusUnprocessableEntity, "Invalid", "delay and lose must be 0 or more")
		return
	}
	s.faults.SetFaults(time.Duration(f.Delay)*time.Millisecond, f.Out, f.Lose)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// An error here means that the caller has disconnected; it cannot be reported to anyone.
	_ = newEncoder(w).Encode(body)
}

// newEncoder returns an encoder without HTML escaping, which would change the bytes of stored values.
func newEncoder(w io.Writer) *json.Encoder {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return e
}

func writeFailure(w http.ResponseWriter, code int, reason, message string) {
	writeJSON(w, code, newFailure(code, reason, message))
}

// writeBodyError answers a request whose body could not be read or decoded.
func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeFailure(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
		return
	}
	writeFailure(w, http.StatusBadRequest, "BadRequest", err.Error())
}

// writeFault answers with the Status of a fault; a Conflict of a create is AlreadyExists.
func writeFault(w http.ResponseWriter, r *http.Request, err error) {
	s := faultStatus(err)
	if s.Code == http.StatusConflict && r.Method == http.MethodPost {
		s.Reason = "AlreadyExists"
	}
	writeJSON(w, s.Code, s)
}

// faultStatus returns the Status that represents a fault.
func faultStatus(err error) status {
	if isMalformedJSON(err) {
		return newFailure(http.StatusBadRequest, "BadRequest", err.Error())
	}
	switch fault.KindOf(err) {
	case fault.NotFound:
		return newFailure(http.StatusNotFound, "NotFound", err.Error())
	case fault.Conflict:
		return newFailure(http.StatusConflict, "Conflict", err.Error())
	case fault.Gone:
		return newFailure(http.StatusGone, "Expired", err.Error())
	case fault.Throttled: // from the storage, which returns it only for oversized values
		return newFailure(http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", err.Error())
	case fault.Invalid:
		return newFailure(http.StatusUnprocessableEntity, "Invalid", err.Error())
	default:
		return newFailure(http.StatusInternalServerError, "InternalError", err.Error())
	}
}

// isMalformedJSON reports whether a body was not valid JSON or had a value of the wrong type.
func isMalformedJSON(err error) bool {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &wrongType)
}
