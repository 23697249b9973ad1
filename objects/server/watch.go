package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"wisteriaspoke.example/objects/keeper"
	"wisteriaspoke.example/objects/meter"
)

// listOrWatch handles a GET of a plural, which is a watch if the query says so.
func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	// An absent or malformed parameter means a list.
	if watch, _ := strconv.ParseBool(r.URL.Query().Get("watch")); watch {
		s.admit(meter.Watch, s.limiter.AllowRead, s.watch)(w, r)
		return
	}
	s.admit(meter.List, s.limiter.AllowRead, s.list)(w, r)
}

// watch streams changes until the caller disconnects, the server stops or an outage begins.
//
// A stop ends the response normally, an outage closes the connection in the middle of it.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name, ok := strings.CutPrefix(query.Get("fieldSelector"), "metadata.name=")
	if !ok && query.Get("fieldSelector") != "" {
		writeFailure(w, http.StatusBadRequest, "BadRequest", "fieldSelector supports only metadata.name")
		return
	}
	cursor, err := s.storage.Watch(r.PathValue("plural"), name, query.Get("resourceVersion"))
	if err != nil {
		writeFault(w, r, err)
		return
	}
	defer s.counter.TrackWatch()()
	inOutage, nextOutage := s.faults.Outage()
	if inOutage {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	switch cause := s.stream(r.Context(), w, cursor, nextOutage); {
	case errors.Is(cause, errOutage):
		panic(http.ErrAbortHandler) // closes the connection without ending the stream
	case errors.Is(cause, errStopping), errors.Is(cause, context.Canceled):
	default:
		_ = newEncoder(w).Encode(watchEvent{Type: "ERROR", Object: faultStatus(cause)})
	}
}

var (
	errOutage   = errors.New("watch interrupted by an outage")
	errStopping = errors.New("server is stopping")
)

// stream sends changes until it fails; it returns errOutage, errStopping, a fault of the cursor, or context.Canceled if
// the caller has disconnected.
func (s *Server) stream(
	parent context.Context, w http.ResponseWriter, cursor *keeper.Watch, nextOutage <-chan struct{},
) error {
	ctx, cancel := context.WithCancelCause(parent)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-nextOutage:
			cancel(errOutage)
		case <-s.stopping:
			cancel(errStopping)
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancel(nil)
		<-ended
	}()
	flusher := http.NewResponseController(w)
	encoder := newEncoder(w)
	for ctx.Err() == nil {
		if err := flusher.Flush(); err != nil {
			return context.Canceled
		}
		c, err := cursor.Next(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return err
		}
		if err := encoder.Encode(watchEvent{Type: string(c.Type()), Object: newResource(c.Object())}); err != nil {
			return context.Canceled
		}
	}
	return context.Cause(ctx)
}
