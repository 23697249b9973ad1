package objectclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

const apiVersion = "wisteriaspoke.example/v1"

type resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type list struct {
	Metadata metadata   `json:"metadata"`
	Items    []resource `json:"items"`
}

type options struct {
	APIVersion    string    `json:"apiVersion"`
	Kind          string    `json:"kind"`
	Preconditions *metadata `json:"preconditions,omitempty"`
}

type status struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

type change struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// pathOf returns the path of an object, or of all objects of a plural when name is empty.
func pathOf(plural, name string) string {
	path := "/apis/" + apiVersion + "/" + url.PathEscape(plural)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// kindOf returns the kind of a plural: "Head" of "heads".
func kindOf(plural string) string {
	singular := strings.TrimSuffix(plural, "s")
	if singular == "" {
		return plural
	}
	return strings.ToUpper(singular[:1]) + singular[1:]
}

func encodeObject(o object.Object) ([]byte, error) {
	return encode(resource{
		APIVersion: apiVersion,
		Kind:       kindOf(o.Plural()),
		Metadata:   metadata{Name: o.Name(), ResourceVersion: o.Revision()},
		Spec:       o.Spec(),
	})
}

func encodeOptions(revision string) ([]byte, error) {
	opts := options{APIVersion: "v1", Kind: "DeleteOptions"}
	if revision != "" {
		opts.Preconditions = &metadata{ResourceVersion: revision}
	}
	return encode(opts)
}

// encode keeps the bytes of compact values as they are, which the default escaping of HTML would not.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the object is not JSON", "correct its content")
	}
	return b.Bytes(), nil
}

func decodeObject(plural string, data []byte, wrap func(error) error) (object.Object, error) {
	var r resource
	if err := json.Unmarshal(data, &r); err != nil {
		return object.Object{}, wrap(err)
	}
	o, err := r.object(plural)
	if err != nil {
		return object.Object{}, wrap(err)
	}
	return o, nil
}

// object fails if a conditional write could not be based on the result.
func (r resource) object(plural string) (object.Object, error) {
	if r.Metadata.Name == "" || r.Metadata.ResourceVersion == "" {
		return object.Object{}, errors.New("the object has no name or no resourceVersion")
	}
	return object.New(plural, r.Metadata.Name, r.Metadata.ResourceVersion, r.Spec), nil
}

func decodeList(plural string, data []byte) ([]object.Object, string, error) {
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, "", unreadable(false)(err)
	}
	if l.Metadata.ResourceVersion == "" {
		return nil, "", unreadable(false)(errors.New("the list has no resourceVersion"))
	}
	var objects []object.Object
	for _, r := range l.Items {
		o, err := r.object(plural)
		if err != nil {
			return nil, "", unreadable(false)(err)
		}
		objects = append(objects, o)
	}
	return objects, l.Metadata.ResourceVersion, nil
}

// decodeStatus returns the zero status when the body has none.
func decodeStatus(body []byte) status {
	var s status
	if json.Unmarshal(body, &s) != nil {
		return status{}
	}
	return s
}

// readChanges calls each for every change until the stream ends, and returns why it did, never nil.
func readChanges(plural string, r io.Reader, each func(event.Change, object.Object)) error {
	bounded := &allowance{reader: r}
	d := json.NewDecoder(bounded)
	for {
		bounded.left = maxObject
		var c change
		if err := d.Decode(&c); err != nil {
			return fault.Wrap(fault.Unavailable, err, "the watch ended", "watch again from the last revision")
		}
		switch kind := event.Change(c.Type); kind {
		case event.Added, event.Modified, event.Deleted:
			o, err := decodeObject(plural, c.Object, unreadable(false))
			if err != nil {
				return err
			}
			each(kind, o)
		case "BOOKMARK": // only moves the version; not asked for
		case "ERROR":
			code := decodeStatus(c.Object).Code
			if code < http.StatusBadRequest {
				return unreadable(false)(errors.New("a failure of the watch has no code"))
			}
			return refusal(code, false, c.Object)
		default:
			return unreadable(false)(fmt.Errorf("a change has the unknown type %q", c.Type))
		}
	}
}

var errAllowance = errors.New("one change is larger than an object may be")

// allowance is a reader that fails when one change takes more than what is left.
type allowance struct {
	reader io.Reader
	left   int
}

// Read reads at most what is left.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errAllowance
	}
	if len(p) > a.left {
		p = p[:a.left]
	}
	n, err := a.reader.Read(p)
	a.left -= n
	return n, err
}
