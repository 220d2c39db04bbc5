package messenger

import (
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Guards against a decoder that refuses the encoder's output or accepts a truncated value.
func TestEncodedValuesDecode(t *testing.T) {
	type value struct {
		Names  []string
		Number int64
		Big    uint64
		Real   float64
		Bytes  []byte
		Table  map[string]int32
	}
	rapid.Check(t, func(t *rapid.T) {
		in := value{
			Names:  rapid.SliceOfN(rapid.StringN(0, 300, -1), 0, 40).Draw(t, "names"),
			Number: rapid.Int64().Draw(t, "number"), Big: rapid.Uint64().Draw(t, "big"),
			Real:  rapid.Float64().Draw(t, "real"),
			Bytes: rapid.SliceOfN(rapid.Byte(), 0, 70000).Draw(t, "bytes"),
			Table: rapid.MapOfN(rapid.String(), rapid.Int32(), 0, 20).Draw(t, "table"),
		}
		content, err := encode(in)
		if err != nil {
			t.Fatal(err)
		}
		var out value
		if err := decode(content, &out); err != nil {
			t.Fatal(err)
		}
		for cut := range min(len(content), 50) {
			if decode(content[:cut], &out) == nil {
				t.Fatalf("first %d of %d bytes were accepted", cut, len(content))
			}
		}
	})
}

// Guards against a short message that makes the decoder allocate memory for elements that the message does not
// contain. The decoder without the check shows the failure.
func TestShortMessageAllocatesLittle(t *testing.T) {
	message := []byte{0x81, 0xa1, 'V', 0xdd, 0x00, 0x07, 0xff, 0xff} // declares 32 MiB; more would end the test process
	var target struct{ V [][64]byte }
	allocated := func(unmarshal func([]byte, any) error) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if unmarshal(message, &target) == nil {
			t.Error("message was accepted")
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	if with, without := allocated(decode), allocated(msgpack.Unmarshal); with > 1<<20 || without < 16<<20 {
		t.Errorf("allocated %d bytes with the check, %d without", with, without)
	}
}
