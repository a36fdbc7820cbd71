package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"tinpin/internal/message"
)

func BenchmarkAnswer(b *testing.B) {
	for _, route := range []string{"/safe/", "/once/"} {
		b.Run(route[1:len(route)-1], func(b *testing.B) {
			backend := newFakeBackend(b, "i-1", func(_ int, r receivedRequest, conn net.Conn) bool {
				_, err := io.WriteString(conn, responseText(200, r.ID, "body"))
				return err == nil
			})
			d := newTestDaemon(b, backend)
			request := newRequest("GET", route+"x", "a")
			b.ReportAllocs()
			for b.Loop() {
				response := d.Handle(b.Context(), &message.Request{
					Method: request.Method, Target: request.Target, Host: request.Host, ID: request.ID,
					Headers: request.Headers,
				}, "2500")
				if response.Status != 200 {
					b.Fatal(response.Status)
				}
			}
		})
	}
}

// BenchmarkWholeRequest sends requests over one client connection, so that reading, planning, the
// exchange with the backend and writing the response are all counted.
func BenchmarkWholeRequest(b *testing.B) {
	for _, route := range []string{"/safe/", "/once/"} {
		b.Run(route[1:len(route)-1], func(b *testing.B) {
			backend := newFakeBackend(b, "i-1", func(_ int, r receivedRequest, conn net.Conn) bool {
				_, err := io.WriteString(conn, responseText(200, r.ID, "body"))
				return err == nil
			})
			conn, in := dialFrontend(b, newTestDaemon(b, backend))
			_ = conn.SetDeadline(time.Time{})
			text := []byte(requestText("GET", route+"x", "a"))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(text); err != nil {
					b.Fatal(err)
				}
				if response, _, err := readResponseFrom(b, in, "GET"); err != nil || response.StatusCode != 200 {
					b.Fatal(response, err)
				}
			}
		})
	}
}
