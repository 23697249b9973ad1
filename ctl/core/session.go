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

// Session holds the client, streams, clock and output format for a command.
type Session struct {
	Client   *client.Client
	In       io.Reader
	Out      io.Writer
	JSON     bool // print answers as received
	Terminal bool // Out can rewrite a line
	Now      func() time.Time
	Pause    func(time.Duration)
}

// Get requests a resource and decodes the answer. It returns the answer as received; query may be nil.
func (s *Session) Get(path string, query url.Values, into any) ([]byte, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return s.Client.Call("GET", path, nil, into)
}

// Send sends a request that changes something and decodes the answer. It returns the answer as received. The body is
// nil, bytes, or a value that is sent as JSON.
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

// Print writes the answer as JSON or, in table format, what writeTable writes, with its tab-separated columns aligned.
func (s *Session) Print(answer []byte, writeTable func(w io.Writer)) error {
	if s.JSON {
		_, err := s.Out.Write(answer)
		return err
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// PrintLine writes one line of text that is not part of an answer; with JSON output it writes nothing.
func (s *Session) PrintLine(format string, values ...any) {
	if !s.JSON {
		fmt.Fprintf(s.Out, format+"\n", values...)
	}
}

// FormatMillis formats a duration in milliseconds, rounded to 100 ms, or to 1 s from 10 s upwards.
func FormatMillis(milliseconds int64) string {
	d := time.Duration(milliseconds) * time.Millisecond
	if d >= 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
