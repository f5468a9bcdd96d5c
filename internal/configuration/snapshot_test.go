package configuration

import (
	"testing"

	"github.com/mountstile/mountstile/internal/resource"
)

// FuzzDocument: whatever the store or a peer gives as a revision, it is refused or it is whole: what
// was decoded and is encoded again says the same.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"revision":3,"change_id":"c","resources":[{"kind":"Tenant","name":"t","spec":{"weight":1}}]}`))
	f.Add([]byte(`{"revision":-1}`))
	f.Add([]byte(`{"resources":[{"kind":"Pool"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, plain []byte) {
		if _, err := decodeDocument(plain); err == nil && len(plain) > 0 {
			// The bytes happen to be a compressed document of their own.
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
