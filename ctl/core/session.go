package core

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"wisteriaspoke.example/ctl/client"
)

// Session is what a command works with.
type Session struct {
	Client   *client.Client
	In       io.Reader
	Out      io.Writer
	JSON     bool // print answers as they came
	Terminal bool // Out can rewrite a line
	Now      func() time.Time
	Pause    func(time.Duration)
}

// Get asks for a resource, with a query that may be nil, and decodes the answer.
func (s *Session) Get(path string, query url.Values, into any) ([]byte, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return s.Client.Call("GET", path, nil, into)
}

// Send changes a resource and decodes the answer; a body of nil sends none.
func (s *Session) Send(method, path string, body, into any) ([]byte, error) {
	var data []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		data = b
	default:
		var err error
		if data, err = json.Marshal(b); err != nil {
			return nil, err
		}
	}
	return s.Client.Call(method, path, data, into)
}

// Print writes an answer as JSON, or as what human writes with tabs between columns.
func (s *Session) Print(answer []byte, human func(w io.Writer)) error {
	if s.JSON {
		_, err := s.Out.Write(answer)
		return err
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	human(w)
	return w.Flush()
}

// Line writes one line of text that is no part of an answer; with JSON it writes nothing.
func (s *Session) Line(format string, values ...any) {
	if !s.JSON {
		fmt.Fprintf(s.Out, format+"\n", values...)
	}
}

// Age formats a duration in milliseconds for people.
func Age(milliseconds int64) string {
	d := time.Duration(milliseconds) * time.Millisecond
	if d >= 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
