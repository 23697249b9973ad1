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

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	// An absent or malformed value means a list.
	if watch, _ := strconv.ParseBool(r.URL.Query().Get("watch")); watch {
		s.admitted(meter.Watch, s.limiter.TakeRead, s.watch)(w, r)
		return
	}
	s.admitted(meter.List, s.limiter.TakeRead, s.list)(w, r)
}

// watch streams changes until the caller leaves, the server stops (a clean end) or an outage begins (a cut).
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name, ok := strings.CutPrefix(query.Get("fieldSelector"), "metadata.name=")
	if !ok && query.Get("fieldSelector") != "" {
		fail(w, http.StatusBadRequest, "BadRequest", "fieldSelector supports only metadata.name")
		return
	}
	cursor, err := s.storage.Watch(r.PathValue("plural"), name, query.Get("resourceVersion"))
	if err != nil {
		failWith(w, r, err)
		return
	}
	defer s.counter.Wait()()
	out, cut := s.faults.Out()
	if out {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	switch cause := s.stream(r.Context(), w, cursor, cut); {
	case errors.Is(cause, errCut):
		panic(http.ErrAbortHandler) // closes the connection without the end of the stream
	case errors.Is(cause, errStopping), errors.Is(cause, context.Canceled):
	default:
		_ = newEncoder(w).Encode(change{Type: "ERROR", Object: failure(cause)})
	}
}

var (
	errCut      = errors.New("an outage cuts the watch")
	errStopping = errors.New("the server stops")
)

// stream sends changes until it ends with errCut, errStopping, the caller's context.Canceled or a fault.
func (s *Server) stream(
	parent context.Context, w http.ResponseWriter, cursor *keeper.Watch, cut <-chan struct{},
) error {
	ctx, cancel := context.WithCancelCause(parent)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-cut:
			cancel(errCut)
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
		if err := encoder.Encode(change{Type: string(c.Type()), Object: newResource(c.Object())}); err != nil {
			return context.Canceled
		}
	}
	return context.Cause(ctx)
}
