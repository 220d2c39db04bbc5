package compressor

import (
	"bytes"
	"testing"
)

// Guards against a text that changes on the way, and against a dictionary that saves nothing.
func TestDictionarySavesBytes(t *testing.T) {
	before := bytes.Repeat([]byte("route 12 goes to service a; "), 1)
	for i := range 2000 {
		before = append(before, byte(i*i>>3), byte(i*7919>>5))
	}
	after := append(bytes.Clone(before), "one more"...)
	for _, dictionary := range [][]byte{nil, before} {
		packed, err := Compress(after, dictionary)
		if err != nil {
			t.Fatal(err)
		}
		if dictionary != nil && len(packed) > 200 {
			t.Errorf("%d bytes for a change of 8", len(packed))
		}
		got, err := Decompress(packed, dictionary, 1<<20)
		if err != nil || !bytes.Equal(got, after) {
			t.Errorf("text differs, error %v", err)
		}
	}
}

// Guards against a message of a few bytes that fills the memory.
func TestDecompressIsBounded(t *testing.T) {
	packed, err := Compress(make([]byte, 1<<20), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Decompress(packed, nil, 1<<16); err == nil {
		t.Errorf("%d bytes became more than the limit", len(packed))
	}
}
