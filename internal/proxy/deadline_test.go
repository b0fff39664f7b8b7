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

// A client whose body does not come is answered when the request's time is over: a
// promise where nothing was sent on, none where a part of it was.
func TestBodyThatDoesNotComeIsNotHeld(t *testing.T) {
	for name, c := range map[string]struct{ sent, length, code int }{
		"short body": {100, 1000, http.StatusRequestTimeout},
		"long body":  {100000, 500000, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) { return okResponse(r, "x"), false })
			srv := httptest.NewServer(newProxy(t, u.instance("i-1")))
			defer srv.Close()
			conn := connectTo(t, srv.Listener.Addr().String())
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

// A body that came whole leaves no deadline behind: the connection serves the next
// request after the first one's time is over, and one that takes long is not cut.
func TestBodyThatCameLeavesNoDeadline(t *testing.T) {
	for _, size := range []int{10, 65536, 200000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
				time.Sleep(100 * time.Millisecond)
				return okResponse(r, "x"), false
			})
			srv := httptest.NewServer(newProxy(t, u.instance("i-1")))
			defer srv.Close()
			conn := connectTo(t, srv.Listener.Addr().String())
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
				time.Sleep(1600 * time.Millisecond) // the request's time is over
			}
		})
	}
}

// A request with less time left than its upstreams ever take is not sent: it would hardly
// be served, and having been sent it could not be refused with a promise.
func TestTooLateToBeSent(t *testing.T) {
	u := newRawUpstream(t, func(_ int, r *http.Request) (string, bool) {
		time.Sleep(60 * time.Millisecond)
		return okResponse(r, "x"), false
	})
	s := newProxy(t, u.instance("i-1"))
	const learned = 10
	for range learned {
		sendRequest(s, "POST", "/once/", "")
	}
	for _, path := range []string{"/once/", "/safe/", "/flow/"} {
		if w := sendRequest(s, "POST", path, "", headerBudget, "35"); w.Code != http.StatusServiceUnavailable || u.count() != learned {
			t.Errorf("%s with 35 ms left: got %d after %d arrivals, want 503 after none", path, w.Code, u.count()-learned)
		}
	}
	if w := sendRequest(s, "POST", "/once/", "", headerBudget, "90"); w.Code != http.StatusOK || u.count() != learned+1 {
		t.Errorf("with 90 ms left: got %d after %d arrivals, want 200 after one", w.Code, u.count()-learned)
	}
}
