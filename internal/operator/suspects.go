package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/schema"
)

// SuspectsPath is the path under which requests during which servers ended are listed
// and released.
const SuspectsPath = "/v1/suspects"

// maxReleaseBytes bounds the body of a release, which contains an operator's name.
const maxReleaseBytes = 4 << 10

// SuspectsConfig configures the handlers for suspect requests. All fields are required.
type SuspectsConfig struct {
	// List returns the suspect requests known to this host.
	List func() []*schema.SuspectView
	// Release clears a suspect request, so that it is no longer held back. It returns
	// false if the request was not suspect.
	Release func(quarantine.Key) bool
	Log     logr.Logger
}

// RegisterSuspects registers the handlers for listing and releasing suspect requests.
func RegisterSuspects(r *echo.Echo, cfg SuspectsConfig) {
	r.GET(SuspectsPath, func(c echo.Context) error {
		return WriteProto(c, http.StatusOK, &schema.SuspectList{Suspects: cfg.List()})
	})
	r.POST(SuspectsPath+"/:key/release", cfg.release)
}

func (cfg SuspectsConfig) release(c echo.Context) error {
	key, err := quarantine.ParseKey(c.Param("key"))
	if err != nil {
		return refuse(c, refusal.New(refusal.BadRequest, "%v", err))
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxReleaseBytes))
	if err != nil {
		return refuse(c, refusal.New(refusal.BodyTooLarge, "a release has at most %d bytes", maxReleaseBytes))
	}
	request := &schema.ReleaseRequest{}
	if err = protojson.Unmarshal(data, request); err != nil {
		return refuse(c, refusal.New(refusal.BadRequest, "%v", err))
	}
	if request.GetOperator() == "" {
		return refuse(c, refusal.New(refusal.BadRequest, "operator is needed: the log says who asked"))
	}
	released := cfg.Release(key)
	cfg.Log.Info("release asked", "key", key.String(), "operator", request.GetOperator(), "released", released)
	if !released {
		return refuse(c, refusal.New(refusal.UnknownTarget, "no request under suspicion has the key %s", key))
	}
	return WriteProto(c, http.StatusOK, &schema.OperatorReply{Result: "ok"})
}

func refuse(c echo.Context, r *refusal.Refusal) error {
	return WriteProto(c, r.Status(), r.ErrorReply(""))
}

// WriteProto writes a message as the JSON response.
func WriteProto(c echo.Context, status int, m proto.Message) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Newf("encode response: %w", err)
	}
	// The output of protojson has random spacing; json.RawMessage normalizes it.
	return c.JSON(status, json.RawMessage(data))
}
