// Package recorded compares encodings with bytes that an earlier version of the
// program recorded under testdata, so that a change of a format is detected.
// Only tests import it.
//
// Each line of a file whose name ends in .hex has a name and an encoding in hex
// digits; each line of any other file has a name and text. Text of several lines
// follows its name, each line after a tab; other text with control characters is
// quoted.
package recorded

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

// File is a set of recorded encodings.
type File struct {
	t       testing.TB
	path    string
	entries map[string][]byte
	checked map[string]bool
}

// Open reads a file of the package's testdata. The test fails if it ends without
// checking every entry.
func Open(t testing.TB, name string) *File {
	t.Helper()
	f := &File{t: t, path: filepath.Join("testdata", name), entries: make(map[string][]byte), checked: make(map[string]bool)}
	b, err := os.ReadFile(f.path)
	if err != nil {
		t.Fatal(err)
	}
	var key string
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "\t"); ok {
			f.entries[key] = append(f.entries[key], text...)
			continue
		}
		var value string
		key, value, _ = strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if f.entries[key], err = f.decode(value); err != nil {
			t.Fatalf("%s: decode entry %s: %v", f.path, key, err)
		}
	}
	t.Cleanup(func() {
		for key := range f.entries {
			if !f.checked[key] {
				t.Errorf("%s: entry %s was not checked", f.path, key)
			}
		}
	})
	return f
}

func (f *File) decode(value string) ([]byte, error) {
	if strings.HasSuffix(f.path, ".hex") {
		return hex.DecodeString(value)
	}
	if !strings.HasPrefix(value, `"`) {
		return []byte(value), nil
	}
	s, err := strconv.Unquote(value)
	return []byte(s), err
}

// encode returns the text that follows the name of an entry in the file.
func (f *File) encode(b []byte) string {
	s := string(b)
	switch {
	case strings.HasSuffix(f.path, ".hex"):
		return " " + hex.EncodeToString(b)
	case strings.HasSuffix(s, "\n") && !strings.Contains(s, "\r"):
		return "\n\t" + strings.ReplaceAll(strings.TrimSuffix(s, "\n"), "\n", "\n\t")
	case strings.ContainsAny(s, "\r\n\t") || strings.HasPrefix(s, `"`):
		return " " + strconv.Quote(s)
	}
	return " " + s
}

// Check compares an encoding with the recorded one and returns the recorded one.
func (f *File) Check(name string, got []byte) []byte {
	f.t.Helper()
	f.checked[name] = true
	want, ok := f.entries[name]
	if !ok || !bytes.Equal(got, want) {
		f.t.Errorf("%s: encoding of %s differs from the recorded one:\ngot %s\nwant %s", f.path, name, f.encode(got), f.encode(want))
	}
	return want
}

// RoundTrip encodes a T from New and compares the encoding with the recorded
// bytes. Then it decodes the recorded bytes; the decoded value must have the same
// encoding, which detects fields that are lost.
func RoundTrip[T any](f *File, name string, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	f.t.Helper()
	RoundTripOf(f, name, New[T](), encode, decode)
}

// RoundTripOf is like RoundTrip for a given value.
func RoundTripOf[T any](f *File, name string, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	f.t.Helper()
	b, err := encode(v)
	if err != nil {
		f.t.Fatalf("%s: encode: %v", name, err)
	}
	decoded, err := decode(f.Check(name, b))
	if err != nil {
		f.t.Errorf("%s: decode recorded bytes: %v", name, err)
		return
	}
	reencoded, err := encode(decoded)
	if err != nil || !bytes.Equal(reencoded, b) {
		f.t.Errorf("%s: decoded %+v, want %+v (%v)", name, decoded, v, err)
	}
}

// Decoder converts a function such as json.Unmarshal to one that returns a T.
func Decoder[T any](unmarshal func([]byte, any) error) func([]byte) (T, error) {
	return func(b []byte) (T, error) {
		var v T
		err := unmarshal(b, &v)
		return v, err
	}
}

// Encoder converts a function such as json.Marshal to one that takes a T.
func Encoder[T any](marshal func(any) ([]byte, error)) func(T) ([]byte, error) {
	return func(v T) ([]byte, error) { return marshal(v) }
}

// New returns a T whose exported fields, at any depth, are not zero. Their values
// depend only on their position in T. Slices and maps have one element.
func New[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1700000000+int64(*n), 123456000).UTC()))
		return
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(*n)}), uint16(8000+*n))))
		return
	case netip.Addr:
		v.Set(reflect.ValueOf(netip.AddrFrom4([4]byte{10, 0, 0, byte(*n)})))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString("v" + strconv.Itoa(*n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(elem, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), n)
			}
		}
	default:
		panic("recorded: cannot fill " + v.Type().String())
	}
}
