package rpc

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"tinpin/internal/rpc/wire"
	"tinpin/internal/testutil/wiretest"
)

// heartbeatOf and updateOf make messages with a number of rows.
func heartbeatOf(rows int) (request *HeartbeatRequest) {
	request = &HeartbeatRequest{
		Node:       sentNode,
		KnownState: KnownState{Term: 9, Revision: 1001, LogIndex: 44, LastItem: AfterAllItems, EndpointsComplete: true},
		KnownNodes: 300,
	}
	for i := range rows {
		request.Loads = append(request.Loads, Load{Service: ServiceName(fmt.Sprint("service-", i)), InFlight: i})
		request.Outcomes = append(request.Outcomes, OutcomeCount{
			Endpoint: EndpointID(fmt.Sprint("pay-", i)), Service: "pay", Zone: "east-1", Succeeded: 40, Failed: 7,
		})
	}
	return request
}

func updateOf(rows int) (update *Update) {
	update = &Update{IsLeader: true, Term: 9, Revision: 1002, LogIndex: 45, LastItem: AfterAllItems}
	for i := range rows {
		update.States = append(update.States, EndpointState{
			Endpoint: EndpointID(fmt.Sprint("pay-", i)), Health: Healthy, EjectedFor: "east-1",
		})
		update.Outcomes = append(update.Outcomes, OutcomeCount{
			Endpoint: EndpointID(fmt.Sprint("pay-", i)), Service: "pay", Zone: "east-1", Succeeded: 40, Failed: 7,
		})
	}
	return update
}

// exchanges are functions that encode and decode a message on a connection: plain
// ones with gob alone on a type that has the names on the wire as its field names,
// and ones through package wire.
func exchanges(t testing.TB, rows int) (plain, renamed map[string]func() error) {
	t.Helper()
	plain, renamed = map[string]func() error{}, map[string]func() error{}
	for name, message := range map[string]any{"heartbeat": heartbeatOf(rows), "update": updateOf(rows)} {
		of := reflect.TypeOf(message).Elem()
		sent, err := wire.TypeOf(of)
		if err != nil {
			t.Fatal(err)
		}
		data, err := wire.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		same := reflect.New(sent)
		if err = gob.NewDecoder(bytes.NewReader(data)).DecodeValue(same); err != nil {
			t.Fatal(err)
		}
		var plainConn, wireConn bytes.Buffer
		plainEncoder, plainDecoder := gob.NewEncoder(&plainConn), gob.NewDecoder(&plainConn)
		wireEncoder, wireDecoder := gob.NewEncoder(&wireConn), gob.NewDecoder(&wireConn)
		plain[name] = func() (err error) {
			if err = plainEncoder.EncodeValue(same); err != nil {
				return err
			}
			return plainDecoder.DecodeValue(reflect.New(sent))
		}
		renamed[name] = func() (err error) {
			if err = wire.Encode(wireEncoder, message); err != nil {
				return err
			}
			return wire.Decode(wireDecoder, reflect.New(of).Interface())
		}
	}
	return plain, renamed
}

// Names on the wire cost nothing beyond what gob costs by itself.
func TestWireNamesCostNoAllocations(t *testing.T) {
	plain, renamed := exchanges(t, 20)
	for name := range plain {
		count := func(run func() error) (allocations float64) {
			return testing.AllocsPerRun(200, func() {
				if err := run(); err != nil {
					t.Fatal(err)
				}
			})
		}
		if without, with := count(plain[name]), count(renamed[name]); with > without {
			t.Errorf("%s: %v allocations with names on the wire, %v without", name, with, without)
		}
	}
}

func BenchmarkCodec(b *testing.B) {
	plain, renamed := exchanges(b, 20)
	for _, name := range []string{"heartbeat", "update"} {
		for _, variant := range []struct {
			name string
			run  func() error
		}{{"gob", plain[name]}, {"wire", renamed[name]}} {
			b.Run(name+"/"+variant.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := variant.run(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// The first message of a connection carries the description of its type, which
// must not grow with the text of types to which Go gives no name. Numbers of types
// differ by process and take a byte more or less, so the sum is compared.
func TestTypeDescriptionsStaySmall(t *testing.T) {
	now, before := 0, 0
	for _, fixture := range wireFixtures {
		now += len(wiretest.EncodeGob(t, fixture.Value))
		before += len(wiretest.ReadFile(t, filepath.Join("testdata", "wire", fixture.Name+".gob")))
	}
	if now > before {
		t.Errorf("all messages with their types take %d bytes, %d before", now, before)
	}
}
