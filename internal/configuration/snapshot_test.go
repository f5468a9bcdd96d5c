package configuration

import (
	"testing"

	"github.com/mountstile/mountstile/internal/resource"
)

// FuzzDocument checks that bytes from the store or a peer are either rejected or survive another round of
// encoding and decoding.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"revision":3,"change_id":"c","resources":[{"kind":"Tenant","name":"t","spec":{"weight":1}}]}`))
	f.Add([]byte(`{"revision":-1}`))
	f.Add([]byte(`{"resources":[{"kind":"Pool"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, plain []byte) {
		if _, err := decodeDocument(plain); err == nil && len(plain) > 0 {
			// The input is itself a compressed document.
			return
		}
		document, err := decodeDocument(encoder.EncodeAll(plain, nil))
		if err != nil {
			return
		}
		if _, err := resource.NewSet(document.Resources); err != nil {
			return
		}
		encoded, err := encodeDocument(document)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeDocument(encoded)
		if err != nil || again.Revision != document.Revision || len(again.Resources) != len(document.Resources) {
			t.Fatalf("%v: %+v", err, again)
		}
	})
}
