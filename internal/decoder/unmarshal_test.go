package decoder

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

type item struct {
	Name  string
	Items []item
	Data  []byte
	Value any
}

// Guards against a check that refuses values that the msgpack library encodes.
func TestUnmarshalAcceptsEncodedValues(t *testing.T) {
	for _, value := range []any{nil, true, -1, -200, 70000, int64(-1 << 40), uint64(1 << 63), 1.5, float32(2)} {
		want := item{
			Name: strings.Repeat("n", 300), Data: make([]byte, 70000), Value: "v",
			Items: make([]item, 40),
		}
		want.Items[3].Items = make([]item, 3)
		for _, encoded := range []any{want, value} {
			body, err := msgpack.Marshal(encoded)
			if err != nil {
				t.Fatal(err)
			}
			if err := check(body); err != nil {
				t.Errorf("%T refused: %v", encoded, err)
			}
		}
		body, _ := msgpack.Marshal(want)
		var got item
		if err := Unmarshal(body, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Name, got.Name); diff != "" {
			t.Fatalf("name differs (-want +got):\n%s", diff)
		}
	}
}

// Guards against a short message that makes a node allocate gigabytes or recurse without bound.
func TestUnmarshalRefusesHostileMessages(t *testing.T) {
	cases := map[string]struct {
		body string
		want error
	}{
		"long list":   {"\x81\xa5Items\xdd\x83\xa1\x61\xa7", errItems},
		"long map":    {"\xdf\xff\xff\xff\xff", errItems},
		"long string": {"\xdb\xff\xff\xff\xff", errTruncated},
		"many items":  {"\xdd\x00\x10\x00\x00" + strings.Repeat("\x01", 1<<20), errItems},
		"deep":        {strings.Repeat("\x91", 1000) + "\x01", errDepth},
		"empty":       {"", errTruncated},
		"trailing":    {"\x01\x01", errTrailing},
		"bad code":    {"\xc1", errTypeByte},
		"cut length":  {"\xdd\x00", errTruncated},
	}
	for name, c := range cases {
		var got item
		if err := Unmarshal([]byte(c.body), &got); !errors.Is(err, c.want) {
			t.Errorf("%s: error is %v, not %v", name, err, c.want)
		}
	}
}

// Guards against a message that passes the check and then crashes the msgpack library.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte("\x81\xa5Items\x91\x81\xa4Name\xa1x"))
	f.Add([]byte("\x81\xa5Value\xd4\x01\x02"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var got item
		_ = Unmarshal(body, &got)
	})
}
