package preset

import (
	"encoding/json"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/service"
)

// TestFormat guards against a change of the stored format, and of the digests that name definitions in the store.
func TestFormat(t *testing.T) {
	var s service.Service
	if err := json.Unmarshal([]byte(`{"name": "a", "version": "1", "routes": [{"name": "r", "path": "/"}]}`), &s); err != nil {
		t.Fatal(err)
	}
	p, err := New("day", []service.Service{s})
	if err != nil {
		t.Fatal(err)
	}
	digest, err := s.Digest()
	if err != nil || p.DefinitionDigests()["a"] != digest {
		t.Errorf("manifest has %s, the definition %s, %v", p.DefinitionDigests()["a"], digest, err)
	}
	first := Manifest{}.Next(p, "t1", "anna")
	data, err := first.Next(p, "t2", "bert").Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(object.New(Plural, "day", "1", data))
	if err != nil || read.Revision() != 2 || read.Token() != "t2" || read.Writer() != "bert" || read.Name() != "day" {
		t.Errorf("read %+v, %v", read, err)
	}
	goldie.New(t).Assert(t, "format", append(data, '\n'))
}
