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

type resourceList struct {
	Metadata metadata   `json:"metadata"`
	Items    []resource `json:"items"`
}

type deleteOptions struct {
	APIVersion    string    `json:"apiVersion"`
	Kind          string    `json:"kind"`
	Preconditions *metadata `json:"preconditions,omitempty"`
}

type apiStatus struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

type watchChange struct {
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
	opts := deleteOptions{APIVersion: "v1", Kind: "DeleteOptions"}
	if revision != "" {
		opts.Preconditions = &metadata{ResourceVersion: revision}
	}
	return encode(opts)
}

// encode encodes without escaping HTML, so that the bytes of compact values stay unchanged.
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

// object returns the decoded object, or an error if it lacks the fields that a conditional write needs.
func (r resource) object(plural string) (object.Object, error) {
	if r.Metadata.Name == "" || r.Metadata.ResourceVersion == "" {
		return object.Object{}, errors.New("the object has no name or no resourceVersion")
	}
	return object.New(plural, r.Metadata.Name, r.Metadata.ResourceVersion, r.Spec), nil
}

func decodeList(plural string, data []byte) ([]object.Object, string, error) {
	var l resourceList
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

// decodeStatus returns the zero apiStatus when the body has none.
func decodeStatus(body []byte) apiStatus {
	var s apiStatus
	if json.Unmarshal(body, &s) != nil {
		return apiStatus{}
	}
	return s
}

// readChanges calls emit for every change until the stream ends, and returns the reason, never nil.
func readChanges(plural string, r io.Reader, emit func(event.Change, object.Object)) error {
	limited := &changeReader{reader: r}
	d := json.NewDecoder(limited)
	for {
		limited.remaining = maxObjectBytes
		var c watchChange
		if err := d.Decode(&c); err != nil {
			return fault.Wrap(fault.Unavailable, err, "the watch ended", "watch again from the last revision")
		}
		switch kind := event.Change(c.Type); kind {
		case event.Added, event.Modified, event.Deleted:
			o, err := decodeObject(plural, c.Object, unreadable(false))
			if err != nil {
				return err
			}
			emit(kind, o)
		case "BOOKMARK": // only advances the version; not requested
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

var errChangeTooLarge = errors.New("one change is larger than an object may be")

// changeReader fails when one change is longer than the remaining bytes.
type changeReader struct {
	reader    io.Reader
	remaining int
}

// Read reads at most the remaining bytes.
func (c *changeReader) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errChangeTooLarge
	}
	if len(p) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.reader.Read(p)
	c.remaining -= n
	return n, err
}
