package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A client whose body does not arrive is answered at the request's deadline. The status
// guarantees that the request was not executed if nothing was forwarded, and does not if a part
// of it was.
func TestIncompleteBodyIsAnsweredAtDeadline(t *testing.T) {
	for name, c := range map[string]struct{ sent, length, code int }{
		"short body": {100, 1000, http.StatusRequestTimeout},
		"long body":  {100000, 500000, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
			srv := httptest.NewServer(newProxy(t, u.instance("i-1")))
			defer srv.Close()
			conn := dialFrontend(t, srv.Listener.Addr().String())
			conn.SetDeadline(time.Now().Add(3 * time.Second))
			began := time.Now()
			fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Time-Budget-Ms: 300\r\nX-Api-Key: k1\r\nContent-Length: %d\r\n\r\n%s",
				c.length, strings.Repeat("x", c.sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer after %v: %v", time.Since(began), err)
			}
			if held := time.Since(began); resp.StatusCode != c.code || held > 550*time.Millisecond || !resp.Close {
				t.Errorf("got %d after %v, closing %v; want %d soon after 300 ms, closing", resp.StatusCode, held, resp.Close, c.code)
			}
		})
	}
}

// A body that arrived completely leaves no read deadline behind: the connection serves the next
// request after the first one's deadline, and a slow one is not aborted.
func TestReadDeadlineIsClearedAfterBody(t *testing.T) {
	for _, size := range []int{10, 65536, 200000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
				time.Sleep(100 * time.Millisecond)
				return okResponse(r, "x"), false
			})
			srv := httptest.NewServer(newProxy(t, u.instance("i-1")))
			defer srv.Close()
			conn := dialFrontend(t, srv.Listener.Addr().String())
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			br := bufio.NewReader(conn)
			for n := range 2 {
				fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Slateridge-Attempt-Id: id-1\r\nX-Slateridge-Time-Budget-Ms: 1500\r\nX-Api-Key: k1\r\nContent-Length: %d\r\n\r\n%s",
					size, strings.Repeat("x", size))
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("request %d: %v %v", n+1, resp, err)
				}
				io.Copy(io.Discard, resp.Body)
				time.Sleep(1600 * time.Millisecond) // past the request's deadline
			}
		})
	}
}

// A request with less time left than its upstreams ever take is not sent. It would hardly be
// served, and once sent, the refusal could not guarantee that it was not executed.
func TestRequestWithTooLittleTimeIsNotSent(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		time.Sleep(60 * time.Millisecond)
		return okResponse(r, "x"), false
	})
	s := newProxy(t, u.instance("i-1"))
	const warmups = 10
	for range warmups {
		sendRequest(s, "POST", "/once/", "")
	}
	for _, path := range []string{"/once/", "/safe/", "/flow/"} {
		if w := sendRequest(s, "POST", path, "", headerBudget, "35"); w.Code != http.StatusServiceUnavailable || u.count() != warmups {
			t.Errorf("%s with 35 ms left: got %d after %d arrivals, want 503 after none", path, w.Code, u.count()-warmups)
		}
	}
	if w := sendRequest(s, "POST", "/once/", "", headerBudget, "90"); w.Code != http.StatusOK || u.count() != warmups+1 {
		t.Errorf("with 90 ms left: got %d after %d arrivals, want 200 after one", w.Code, u.count()-warmups)
	}
}
