// Package recorded compares what the program encodes with bytes that an earlier
// version has recorded under testdata. Only tests import it.
//
// A file ending in .hex holds a name and the hex digits of an encoding on each
// line, any other file a name and text. Text of several lines follows its name
// line by line after a tab; other text with control characters is quoted.
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

// Open reads a file of the package's testdata. Entries that the test does not
// check by its end are failures.
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
			t.Fatalf("%s: %s: %v", f.path, key, err)
		}
	}
	t.Cleanup(func() {
		for key := range f.entries {
			if !f.checked[key] {
				t.Errorf("%s: %s is recorded, but not checked", f.path, key)
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

// encode returns an entry as it stands in the file after the name.
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

// Check compares an encoding with the recorded one, and returns the latter.
func (f *File) Check(name string, got []byte) []byte {
	f.t.Helper()
	f.checked[name] = true
	want, ok := f.entries[name]
	if !ok || !bytes.Equal(got, want) {
		f.t.Errorf("%s: %s differs from what is recorded:\ngot %s\nwant %s", f.path, name, f.encode(got), f.encode(want))
	}
	return want
}

// RoundTrip encodes a filled T and compares it with the recorded bytes. Then it
// decodes the recorded bytes; the decoded value must have the same encoding, so
// that nothing is lost on the way.
func RoundTrip[T any](f *File, name string, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	f.t.Helper()
	RoundTripOf(f, name, New[T](), encode, decode)
}

// RoundTripOf is RoundTrip for a given value.
func RoundTripOf[T any](f *File, name string, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	f.t.Helper()
	b, err := encode(v)
	if err != nil {
		f.t.Fatalf("%s: encode: %v", name, err)
	}
	back, err := decode(f.Check(name, b))
	if err != nil {
		f.t.Errorf("%s: decode what is recorded: %v", name, err)
		return
	}
	again, err := encode(back)
	if err != nil || !bytes.Equal(again, b) {
		f.t.Errorf("%s: decoded %+v, want %+v (%v)", name, back, v, err)
	}
}

// Decoder turns a function such as json.Unmarshal into one that returns a T.
func Decoder[T any](unmarshal func([]byte, any) error) func([]byte) (T, error) {
	return func(b []byte) (T, error) {
		var v T
		err := unmarshal(b, &v)
		return v, err
	}
}

// Encoder turns a function such as json.Marshal into one that takes a T.
func Encoder[T any](marshal func(any) ([]byte, error)) func(T) ([]byte, error) {
	return func(v T) ([]byte, error) { return marshal(v) }
}

// New returns a T whose exported fields, at any depth, are not zero and depend
// on their place only. Slices and maps get one element.
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
