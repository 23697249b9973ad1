package holder

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const megabyte = 1 << 20

// TestClaims guards against bodies that take more than the limit together, memory that is lost, and claims that never get
// any: random claims, growth and releases.
func TestClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(18 * megabyte)
		var holds []*Hold
		var sizes []int64
		sum := int64(0)
		remove := func(i int) {
			holds[i].Release()
			holds[i].Release()
			sum -= sizes[i]
			holds, sizes = append(holds[:i], holds[i+1:]...), append(sizes[:i], sizes[i+1:]...)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			bytes := rapid.Int64Range(1, 9*megabyte).Draw(t, "bytes")
			i := 0
			if len(holds) > 0 {
				i = rapid.IntRange(0, len(holds)-1).Draw(t, "index")
			}
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 && len(holds) > 0:
				remove(i)
			case kind == 1 && len(holds) > 0:
				if ok := holds[i].Grow(t.Context(), Claim{Bytes: bytes}); ok != (sum+bytes <= h.limit) {
					t.Fatalf("growth by %d bytes beside %d: %v", bytes, sum, ok)
				} else if ok {
					sum, sizes[i] = sum+bytes, sizes[i]+bytes
				}
			case kind == 2 && len(holds) > 0:
				less := rapid.Int64Range(1, sizes[i]).Draw(t, "less")
				holds[i].Shrink(less)
				sum, sizes[i] = sum-sizes[i]+less, less
			default:
				hold, ok := h.Take(t.Context(), Claim{Bytes: bytes})
				if ok != (sum+bytes <= h.limit) {
					t.Fatalf("a claim of %d bytes beside %d: %v", bytes, sum, ok)
				}
				if ok {
					sum, holds, sizes = sum+bytes, append(holds, hold), append(sizes, bytes)
				}
			}
			if h.Used() != sum {
				t.Fatalf("%d bytes are counted, %d held", h.Used(), sum)
			}
		}
		for len(holds) > 0 {
			remove(0)
		}
		if h.Used() != 0 {
			t.Fatalf("%d bytes are counted at the end", h.Used())
		}
	})
}

// TestWait guards against a claim that fails although memory becomes free in time, one that asks slow readers before its
// patience ends, and a small claim that overtakes a large one for ever.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(18 * megabyte)
		first, _ := h.Take(t.Context(), Claim{Bytes: 12 * megabyte})
		began, asked := time.Now(), time.Duration(0)
		h.SetReclaim(func() {
			asked = time.Since(began)
			first.Release()
		})
		large := make(chan time.Duration, 1)
		go func() {
			if hold, ok := h.Take(t.Context(), Claim{Bytes: 8 * megabyte, Patience: 200 * time.Millisecond, Wait: time.Second}); ok {
				defer hold.Release()
				large <- time.Since(began)
			}
		}()
		synctest.Wait()
		if _, ok := h.Take(t.Context(), Claim{Bytes: 100 << 10, Patience: time.Hour, Wait: 50 * time.Millisecond}); ok {
			t.Error("a small claim overtakes")
		}
		if took := <-large; took < 200*time.Millisecond || took > time.Second/2 || asked != took {
			t.Errorf("the memory was there after %v, slow readers were asked after %v", took, asked)
		}
	})
}

// TestFits guards against a call that runs although its answer would find no memory, against small ones that are refused
// then, and against slow readers that are all closed at once for it.
func TestFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(18 * megabyte)
		asked := 0
		h.SetReclaim(func() { asked++ })
		if !h.Fits(8*megabyte) || asked != 0 {
			t.Error("no call is admitted without any body")
		}
		hold, _ := h.Take(t.Context(), Claim{Bytes: 12 * megabyte})
		defer hold.Release()
		for range 100 {
			if h.Fits(8*megabyte) || !h.Fits(CountedFrom) {
				t.Error("a large answer is admitted, or a small one is not")
			}
		}
		if asked != 1 {
			t.Errorf("slow readers were asked %d times at once", asked)
		}
	})
}

// TestFailure guards against a claim that waits beyond its time or its call, and against one that blocks those behind it
// afterwards.
func TestFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(18 * megabyte)
		first, _ := h.Take(t.Context(), Claim{Bytes: 12 * megabyte})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		go func() {
			if _, ok := h.Take(ctx, Claim{Bytes: 8 * megabyte, Patience: time.Hour, Wait: time.Hour}); ok {
				t.Error("the claim did not fail")
			}
		}()
		synctest.Wait()
		began := time.Now()
		behind, ok := h.Take(t.Context(), Claim{Bytes: megabyte, Patience: time.Hour, Wait: time.Second})
		if took := time.Since(began); !ok || took != 100*time.Millisecond {
			t.Errorf("the claim behind: %v after %v", ok, took)
		}
		first.Release()
		behind.Release()
		if h.Used() != 0 {
			t.Errorf("%d bytes are counted at the end", h.Used())
		}
	})
}

// TestDropped guards against memory that is lost with an answer that nobody takes, such as that to an abandoned call.
func TestDropped(t *testing.T) {
	h := New(18 * megabyte)
	if _, ok := h.Take(t.Context(), Claim{Bytes: megabyte}); !ok {
		t.Fatal("no memory")
	}
	for end := time.Now().Add(10 * time.Second); h.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", h.Used())
		}
		runtime.GC()
	}
}

// TestGarbage guards against released bodies that fill the memory until the runtime collects them, and against a
// collection for each body.
func TestGarbage(t *testing.T) {
	var g garbage
	for i := range uint64(5) {
		g.add(megabyte, 7+i/4)
	}
	if g.bytes != 5*megabyte {
		t.Errorf("%d bytes after one collection, which may have begun before", g.bytes)
	}
	g.settle(10)
	if g.bytes != 0 {
		t.Errorf("%d bytes after two collections", g.bytes)
	}
	h := New(18 * megabyte)
	for range 100 {
		hold, ok := h.Take(t.Context(), Claim{Bytes: 8 * megabyte})
		if !ok {
			t.Fatal("no memory")
		}
		if h.tooMuchGarbage() {
			t.Fatal("a body is read beside too much garbage")
		}
		hold.Release()
	}
}
