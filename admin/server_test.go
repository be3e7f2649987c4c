package admin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/admin"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/query"
	"github.com/smartystreets/goconvey/convey"
)

const (
	token = "operator"
	// tokenHash is the hex SHA-256 of token.
	tokenHash = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
	secret    = "q8Zr3-vT_mK0xW5yB1nD7cJ4hL9sPaUe"
)

func post(s *admin.Server, path, auth, body string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+path, strings.NewReader(body))
	convey.So(err, convey.ShouldBeNil)
	r.Header.Set("Authorization", auth)
	r.Header.Set("X-Forwarded-For", "203.0.113.9")
	resp, err := http.DefaultClient.Do(r)
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	convey.So(err, convey.ShouldBeNil)
	return resp.StatusCode, string(b)
}

func TestCommands(t *testing.T) {
	convey.Convey("Given the administration listener", t, func() {
		var log bytes.Buffer
		var requests []pomelo.CommandRequest
		p, err := query.New()
		convey.So(err, convey.ShouldBeNil)
		run := func(_ context.Context, q pomelo.CommandRequest, _ pomelo.Command) (pomelo.CommandResult, error) {
			requests = append(requests, q)
			return pomelo.CommandResult{Revision: 7, Secret: secret}, nil
		}
		s := admin.New(p, run, func(io.Writer) error { return nil }, logs.New(&log), admin.WithTokenHashes([]string{tokenHash}))
		convey.So(s.Start("127.0.0.1:0"), convey.ShouldBeNil)
		convey.Reset(func() { _ = s.Stop(context.Background()) })
		convey.Convey("a command runs once with all fields of the request, and one line without secrets is logged", func() {
			status, body := post(s, "/command", "Bearer "+token, `{"id":"1","command":"issue key for growers","expected_revision":3,"wait_ms":5,"repeat":true}`)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(body, convey.ShouldContainSubstring, secret)
			convey.So(requests, convey.ShouldResemble, []pomelo.CommandRequest{{ID: "1", Command: "issue key for growers", Expected: 3, Wait: 5, Repeat: true}})
			convey.So(strings.Count(log.String(), "\n"), convey.ShouldEqual, 1)
			convey.So(log.String(), convey.ShouldContainSubstring, `event=command id=1 operator=06e55b63 from=127.0.0.1 command="issue key for growers" outcome=accepted revision=7`)
		})
		convey.Convey("with a wrong token no command runs", func() {
			for _, auth := range []string{"", "Bearer ", "Bearer other", token} {
				status, _ := post(s, "/command", auth, `{"command":"show nodes"}`)
				convey.So(status, convey.ShouldEqual, http.StatusUnauthorized)
			}
			convey.So(requests, convey.ShouldBeEmpty)
		})
		convey.Convey("a secret entered by mistake is not logged", func() {
			for _, line := range []string{"withdraw key " + secret, "withdraw kee " + secret} {
				_, _ = post(s, "/command", "Bearer "+token, `{"id":"`+secret+`","command":"`+line+`"}`)
			}
			_, _ = post(s, "/command", "Bearer "+token, secret)
			convey.So(strings.Count(log.String(), "event=command"), convey.ShouldEqual, 3)
			convey.So(log.String(), convey.ShouldNotContainSubstring, secret)
		})
		convey.Convey("a key's id is logged", func() {
			_, _ = post(s, "/command", "Bearer "+token, `{"command":"withdraw key `+tokenHash+`"}`)
			convey.So(log.String(), convey.ShouldContainSubstring, tokenHash)
		})
	})
}
