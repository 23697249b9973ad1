package differ

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/share"
)

// state builds a state from words "name=version", "name=version>dependency,dependency" and "name%permille".
func state(t *testing.T, version uint64, words string) (State, error) {
	t.Helper()
	definitions, shares := map[string]Definition{}, map[string]share.Share{}
	for _, word := range strings.Fields(words) {
		if name, permille, ok := strings.Cut(word, "%"); ok {
			n := 0
			fmt.Sscan(permille, &n)
			shares[name] = share.New("1", "2", n, "r", 1)
			continue
		}
		name, rest, _ := strings.Cut(word, "=")
		v, dependencies, hasDependencies := strings.Cut(rest, ">")
		spec := fmt.Sprintf(`{"name":%q,"version":%q}`, name, v)
		if hasDependencies {
			spec = fmt.Sprintf(`{"name":%q,"version":%q,"depends":["%s"]}`,
				name, v, strings.ReplaceAll(dependencies, ",", `","`))
		}
		p, err := DecodeDefinition([]byte(spec))
		if err != nil {
			t.Fatal(err)
		}
		definitions[name] = p
	}
	return New(version, "ordinary", definitions, shares)
}

// cases are numbered in the golden file; guard names the failure that the case guards against.
var cases = []struct {
	guard, base, next, ownService string
	demanded                      []string
}{
	{guard: "unchanged definitions sent again", base: "a=1 b=1", next: "a=2 b=1"},
	{guard: "a removed service kept", base: "a=1 b=1", next: "b=1"},
	{guard: "a changed share lost", base: "a=1 a%50", next: "a=1 a%250"},
	{guard: "a removed share kept", base: "a=1 a%50", next: "a=1"},
	{guard: "the whole state not sent without a base", next: "a=1 b=1 b%50"},
	{
		guard: "services sent that the upstream does not call", base: "a=1>b b=1 c=1", next: "a=1>b b=1 c=2 c%50",
		ownService: "a",
	},
	{
		guard: "a demanded service not sent", base: "a=1>b b=1 c=1", next: "a=1>b b=1 c=2 c%50",
		ownService: "a", demanded: []string{"c"},
	},
	{guard: "a new dependency not sent", base: "a=1>b b=1 c=1", next: "a=1>b,c b=1 c=1", ownService: "a"},
	{guard: "all services not sent without dependencies", base: "a=1 b=1", next: "a=1 b=2", ownService: "a"},
}

// TestDeltas compares each case's delta and its encoding with the golden file, and requires that the delta turns the
// base into exactly the next state.
func TestDeltas(t *testing.T) {
	var out strings.Builder
	for i, c := range cases {
		base, err := state(t, 1, c.base)
		if err != nil {
			t.Fatal(err)
		}
		if c.base == "" {
			base = State{}
		}
		next, err := state(t, 2, c.next)
		if err != nil {
			t.Fatal(err)
		}
		base, next = base.Filter(c.ownService, c.demanded), next.Filter(c.ownService, c.demanded)
		d := Diff(base, next)
		data, err := cbor.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%02d guards against %s\n   from %q to %q for %q %v\n",
			i+1, c.guard, c.base, c.next, c.ownService, c.demanded)
		fmt.Fprintf(&out, "   version %d base %d definitions %s removed %v shares %d removed shares %v\n",
			d.fields.Version, d.fields.Base, d.fields.Definitions, d.fields.RemovedServices,
			len(d.fields.Shares), d.fields.RemovedShares)
		fmt.Fprintf(&out, "   %s\n", hex.EncodeToString(data))
		var decoded Delta
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(base, decoded)
		if err != nil || got.Digest() != next.Digest() {
			t.Errorf("case %d: Apply gives digest %x and error %v, want %x", i+1, got.Digest(), err, next.Digest())
		}
	}
	goldie.New(t).Assert(t, "deltas", []byte(out.String()))
}

// TestApplyRejectsWrongBaseDigestOrContent guards against a delta that is applied although its base, its digest or its
// content is wrong.
func TestApplyRejectsWrongBaseDigestOrContent(t *testing.T) {
	one, _ := state(t, 1, "a=1 b=1")
	two, _ := state(t, 2, "a=2 b=1")
	three, _ := state(t, 3, "a=2 b=2")
	other, _ := state(t, 1, "a=1 b=3")
	wrongDigest := Diff(one, two)
	wrongDigest.fields.Digest++
	undecodable := Diff(one, two)
	undecodable.fields.Definitions = [][]byte{[]byte("{")}
	for _, c := range []struct {
		name  string
		base  State
		delta Delta
		kind  fault.Kind
	}{
		{"another base version", one, Diff(two, three), fault.Conflict},
		{"another base content", other, Diff(one, two), fault.Conflict},
		{"another digest", one, wrongDigest, fault.Conflict},
		{"an undecodable definition", one, undecodable, fault.Invalid},
	} {
		if _, err := Apply(c.base, c.delta); fault.KindOf(err) != c.kind {
			t.Errorf("%s: error %v, want kind %q", c.name, err, c.kind)
		}
	}
	if _, err := state(t, 1, "a=1 z%50"); fault.KindOf(err) != fault.Invalid {
		t.Errorf("a share of a missing service: error %v, want kind invalid", err)
	}
}

// TestRandomDeltasKeepStatesEqual guards against a delta that loses a change: it applies the deltas of a sequence of
// random states and requires that the result has each state's digest.
func TestRandomDeltasKeepStatesEqual(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		rand := rand.New(rand.NewPCG(seed, 1))
		var applied, base State
		for version := uint64(1); version <= 30; version++ {
			var words []string
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				if rand.IntN(4) == 0 {
					continue
				}
				words = append(words, fmt.Sprintf("%s=%d", name, rand.IntN(3)))
				if rand.IntN(2) == 0 {
					words = append(words, fmt.Sprintf("%s%%%d", name, rand.IntN(3)))
				}
			}
			next, err := state(t, version, strings.Join(words, " "))
			if err != nil {
				t.Fatal(err)
			}
			applied, err = Apply(applied, Diff(base, next))
			if err != nil || applied.Digest() != next.Digest() || applied.computeDigest() != next.Digest() {
				t.Fatalf("seed %d version %d: %v", seed, version, err)
			}
			base = next
		}
	}
}
