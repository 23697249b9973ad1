package server

import (
	"encoding/json"
	"strings"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// apiVersion is the API group and version of all objects.
const apiVersion = "wisteriaspoke.example/v1"

// resource is the JSON form of an object.
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
	APIVersion string     `json:"apiVersion"`
	Kind       string     `json:"kind"`
	Metadata   metadata   `json:"metadata"`
	Items      []resource `json:"items"`
}

// deleteOptions is the optional body of a delete.
type deleteOptions struct {
	Preconditions metadata `json:"preconditions"`
}

// status is the body of every failure and of a successful delete.
type status struct {
	Kind       string   `json:"kind"`
	APIVersion string   `json:"apiVersion"`
	Metadata   metadata `json:"metadata"`
	Status     string   `json:"status"`
	Message    string   `json:"message,omitempty"`
	Reason     string   `json:"reason,omitempty"`
	Code       int      `json:"code"`
}

// watchEvent is one event of a watch; Object is a resource, or a status when Type is ERROR.
type watchEvent struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

func newResource(o object.Object) resource {
	return resource{
		APIVersion: apiVersion,
		Kind:       kindOf(o.Plural()),
		Metadata:   metadata{Name: o.Name(), ResourceVersion: o.Revision()},
		Spec:       o.Spec(),
	}
}

func newList(plural string, objects []object.Object, revision string) resourceList {
	l := resourceList{
		APIVersion: apiVersion,
		Kind:       kindOf(plural) + "List",
		Metadata:   metadata{ResourceVersion: revision},
		Items:      []resource{},
	}
	for _, o := range objects {
		l.Items = append(l.Items, newResource(o))
	}
	return l
}

func newFailure(code int, reason, message string) status {
	return status{Kind: "Status", APIVersion: "v1", Status: "Failure", Message: message, Reason: reason, Code: code}
}

// kindOf returns the kind that belongs to a plural: "Head" for "heads".
func kindOf(plural string) string {
	singular := strings.TrimSuffix(plural, "s")
	if singular == "" {
		return plural
	}
	return strings.ToUpper(singular[:1]) + singular[1:]
}

// decodeObject returns the object in a request's body; plural and name are from the path, name is empty for a create.
func decodeObject(plural, name string, body []byte) (object.Object, error) {
	var r resource
	if err := json.Unmarshal(body, &r); err != nil {
		return object.Object{}, fault.Wrap(fault.Invalid, err, "the body is not JSON", "send an object")
	}
	if r.APIVersion != apiVersion || r.Kind != kindOf(plural) {
		problem := "the body is of " + r.APIVersion + " " + r.Kind
		return object.Object{}, fault.New(fault.Invalid, problem, "send "+apiVersion+" "+kindOf(plural))
	}
	if name != "" && r.Metadata.Name != name {
		problem := "the body names " + r.Metadata.Name + ", the path " + name
		return object.Object{}, fault.New(fault.Invalid, problem, "send the same name in both")
	}
	if !validName(r.Metadata.Name) {
		problem := "the name " + r.Metadata.Name + " is not a DNS subdomain"
		return object.Object{}, fault.New(fault.Invalid, problem, "use lower case letters, digits, - and ., at most 253")
	}
	return object.New(plural, r.Metadata.Name, r.Metadata.ResourceVersion, r.Spec), nil
}

// maxNameLength is the limit of a DNS subdomain, in bytes.
const maxNameLength = 253

// validName reports whether the name is a DNS subdomain in lower case.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, label := range strings.Split(name, ".") {
		if label == "" || strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") {
			return false
		}
		if strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
			return false
		}
	}
	return true
}
