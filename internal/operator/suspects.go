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

// SuspectsPath is where requests that end their servers are listed, and released below it.
const SuspectsPath = "/v1/suspects"

// maxReleaseBytes bounds a release: an operator's name.
const maxReleaseBytes = 4 << 10

// SuspectsConfig configures the answers to operators. All fields are required.
type SuspectsConfig struct {
	// List returns what this host knows.
	List func() []*schema.SuspectView
	// Release has a request held back no longer; it reports whether it was.
	Release func(quarantine.Key) bool
	Log     logr.Logger
}

// RegisterSuspects answers operators about requests that end their servers.
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
	q := &schema.ReleaseRequest{}
	if err = protojson.Unmarshal(data, q); err != nil {
		return refuse(c, refusal.New(refusal.BadRequest, "%v", err))
	}
	if q.GetOperator() == "" {
		return refuse(c, refusal.New(refusal.BadRequest, "operator is needed: the log says who asked"))
	}
	released := cfg.Release(key)
	cfg.Log.Info("release asked", "key", key.String(), "operator", q.GetOperator(), "released", released)
	if !released {
		return refuse(c, refusal.New(refusal.UnknownTarget, "no request under suspicion has the key %s", key))
	}
	return WriteProto(c, http.StatusOK, &schema.OperatorReply{Result: "ok"})
}

func refuse(c echo.Context, r *refusal.Refusal) error {
	return WriteProto(c, r.Status(), r.ErrorReply(""))
}

// WriteProto answers with a message as JSON.
func WriteProto(c echo.Context, status int, m proto.Message) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Newf("encode answer: %w", err)
	}
	// protojson varies its spacing on purpose; an interface should not.
	return c.JSON(status, json.RawMessage(data))
}
