package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"tinpin/internal/message"
)

func BenchmarkAnswer(b *testing.B) {
	for _, way := range []string{"/safe/", "/once/"} {
		b.Run(way[1:len(way)-1], func(b *testing.B) {
			backend := newStandIn(b, "i-1", func(_ int, r seen, conn net.Conn) bool {
				_, err := io.WriteString(conn, answer(200, r.ID, "body"))
				return err == nil
			})
			d := daemonOf(b, backend)
			asked := request("GET", way+"x", "a")
			b.ReportAllocs()
			for b.Loop() {
				if verdict := d.Handle(&message.Request{Method: asked.Method, Target: asked.Target, Host: asked.Host, ID: asked.ID, Headers: asked.Headers}, "2500"); verdict.Status != 200 {
					b.Fatal(verdict.Status)
				}
			}
		})
	}
}

// BenchmarkWholeRequest sends requests over one client connection, so that reading, planning, the
// exchange with the backend and the writing of the answer are all counted.
func BenchmarkWholeRequest(b *testing.B) {
	for _, route := range []string{"/safe/", "/once/"} {
		b.Run(route[1:len(route)-1], func(b *testing.B) {
			backend := newStandIn(b, "i-1", func(_ int, r seen, conn net.Conn) bool {
				_, err := io.WriteString(conn, answer(200, r.ID, "body"))
				return err == nil
			})
			conn, in := client(b, daemonOf(b, backend))
			_ = conn.SetDeadline(time.Time{})
			text := []byte(ask("GET", route+"x", "a"))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(text); err != nil {
					b.Fatal(err)
				}
				if response, _, err := receiveOne(b, in, "GET"); err != nil || response.StatusCode != 200 {
					b.Fatal(response, err)
				}
			}
		})
	}
}
