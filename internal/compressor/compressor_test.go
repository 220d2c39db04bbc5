package compressor

import (
	"bytes"
	"testing"
)

// Guards against a text that differs after compression and decompression, and against a dictionary that saves no bytes.
func TestDictionarySavesBytes(t *testing.T) {
	before := bytes.Repeat([]byte("route 12 goes to service a; "), 1)
	for i := range 2000 {
		before = append(before, byte(i*i>>3), byte(i*7919>>5))
	}
	after := append(bytes.Clone(before), "one more"...)
	for _, dictionary := range [][]byte{nil, before} {
		compressed, err := Compress(after, dictionary)
		if err != nil {
			t.Fatal(err)
		}
		if dictionary != nil && len(compressed) > 200 {
			t.Errorf("%d bytes for a change of 8", len(compressed))
		}
		got, err := Decompress(compressed, dictionary, 1<<20)
		if err != nil || !bytes.Equal(got, after) {
			t.Errorf("text differs, error %v", err)
		}
	}
}

// Guards against a small message that exhausts the memory when it is decompressed.
func TestDecompressIsBounded(t *testing.T) {
	compressed, err := Compress(make([]byte, 1<<20), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Decompress(compressed, nil, 1<<16); err == nil {
		t.Errorf("%d bytes were decompressed to more than the limit", len(compressed))
	}
}
