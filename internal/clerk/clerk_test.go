// What the operator reads of a refusal, of an order that was taken under the same
// version, and of no clear answer.
package clerk

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestAnswersAreToldPlainly(t *testing.T) {
	for _, c := range []struct {
		statuses []int
		good     bool
		said     string
	}{
		{[]int{200}, true, ""},
		{[]int{503, 200}, true, ""},
		{[]int{409, 200}, false, "refused: another order was taken under this version: version 5 stands"},
		{[]int{503, 422}, false, "refused: version 5 stands"},
		{[]int{503, 503}, false, "no clear answer, the same may be sent again"},
	} {
		desk := &Clerk{}
		for _, status := range c.statuses {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(`{"status":"acknowledged","error_message":"version 5 stands"}`))
			}))
			defer server.Close()
			desk.Controls = append(desk.Controls, strings.TrimPrefix(server.URL, "http://"))
		}
		var out bytes.Buffer
		good, err := desk.Carry(context.Background(), &out, "drain", "withdraw", []string{"5"})
		if good != c.good || good != strings.Contains(out.String(), "acknowledged") || !good && !strings.Contains(err.Error(), c.said) {
			t.Errorf("%v: %v, %q, %v", c.statuses, good, out.String(), err)
		}
	}
}
