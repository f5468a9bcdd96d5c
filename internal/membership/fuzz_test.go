package membership

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// For any packet, Receive must not panic, end the node's own membership or decrease the version of a record.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"t":"ping","f":"b","q":3,"m":[{"id":"b","a":"b:1","i":1,"s":"alive","st":5}]}`))
	f.Add([]byte(`{"t":"sync","f":"b","h":[1],"m":[{"id":"a","i":9,"s":"dead"},{"id":"","s":"x"}]}`))
	f.Add([]byte(`{"t":"entries","f":"b","b":[-1,99],"r":[{"k":"config","v":0},{"k":"","v":1}],"m":[{"id":"b","a":"a:1","i":1,"s":"left"}]}`))
	f.Add([]byte(`{"t":"preq","f":"b","x":"nobody","q":1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var packet Packet
		if json.Unmarshal(line, &packet) != nil {
			return
		}
		self := Member{ID: "a", ReplicaID: "a", Address: "a:1", Zone: "z", Region: "r", StartedAt: 1}
		core := NewCore(self, DefaultOptions(), []string{"b:1"}, rand.New(rand.NewPCG(1, 1)))
		core.SetRecord(Record{Key: "config", Version: 7})
		now := time.Unix(1000, 0)
		for range 3 {
			core.Receive(now, packet)
			core.Tick(now)
			now = now.Add(time.Second)
		}
		newView(core.Self(), core.Members())
		if core.Self().Status != Alive {
			t.Fatalf("a packet changed the status of this node: %+v", core.Self())
		}
		if record, known := core.Record("config"); !known || record.Version < 7 {
			t.Fatalf("the record was lost or its version decreased: %+v", record)
		}
	})
}
